package org.hibiscusreel.daemon.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Limits the memory that the bodies of requests take, of all senders together and of each one, so
 * that a sender of many large bodies leaves room for others. A part is left for small bodies, which
 * many large ones of several senders can't take. Used only on the event loop.
 */
public final class BodyMemory {

  /** Largest size in bytes of a small body. */
  static final int SMALL_BODY_BYTES = 64 * 1024;

  private final long limitBytes;
  private final long senderLimitBytes;
  private final long smallBytes;
  private final LongSupplier otherBytes;
  private final Map<String, Long> bytesBySender = new HashMap<>();
  private long usedBytes;

  /**
   * Creates an account of memory that is not used yet.
   *
   * @param limitBytes limit for all senders together, in bytes
   * @param senderLimitBytes limit for one sender, in bytes
   * @param smallBytes part of the limit for all that only small bodies may use, in bytes
   * @throws IllegalArgumentException if a limit is negative
   */
  public BodyMemory(long limitBytes, long senderLimitBytes, long smallBytes) {
    this(limitBytes, senderLimitBytes, smallBytes, () -> 0);
  }

  /**
   * Creates an account of memory that bodies share with others.
   *
   * @param limitBytes limit for all senders together, in bytes
   * @param senderLimitBytes limit for one sender, in bytes
   * @param smallBytes part of the limit for all that only small bodies may use, in bytes
   * @param otherBytes supplies what others use of the limit for all, in bytes
   * @throws IllegalArgumentException if a limit is negative
   * @throws NullPointerException if the supplier is null
   */
  public BodyMemory(
      long limitBytes, long senderLimitBytes, long smallBytes, LongSupplier otherBytes) {
    this.otherBytes = Objects.requireNonNull(otherBytes, "otherBytes");
    if (limitBytes < 0 || senderLimitBytes < 0 || smallBytes < 0) {
      throw new IllegalArgumentException("a negative limit of bytes");
    }
    this.smallBytes = smallBytes;
    this.limitBytes = limitBytes;
    this.senderLimitBytes = senderLimitBytes;
  }

  /**
   * Returns the memory of all bodies.
   *
   * @return bytes in use
   */
  public long usedBytes() {
    return usedBytes;
  }

  /**
   * Begins to count the body of a request.
   *
   * @param sender identifies who sends the request
   * @return a lease of no bytes
   * @throws NullPointerException if the sender is null
   */
  public Lease lease(String sender) {
    return new Lease(Objects.requireNonNull(sender, "sender"));
  }

  /** Memory of one body. */
  public final class Lease {

    private final String sender;
    private long bytes;

    private Lease(String sender) {
      this.sender = sender;
    }

    /**
     * Tells whether further memory is left.
     *
     * @param count number of bytes, 0 or more
     * @return false if these bytes would exceed a limit
     */
    public boolean hasRoom(long count) {
      long ofSender = bytesBySender.getOrDefault(sender, 0L);
      long limit = bytes + count <= SMALL_BODY_BYTES ? limitBytes : limitBytes - smallBytes;
      long used = usedBytes + otherBytes.getAsLong();
      return used + count <= limit && ofSender + count <= senderLimitBytes;
    }

    /**
     * Takes further memory.
     *
     * @param count number of bytes, 0 or more
     * @return false if that exceeds a limit; nothing was taken then
     */
    public boolean grow(long count) {
      if (hasRoom(count)) {
        take(count);
        return true;
      }
      return false;
    }

    /** Gives all memory back. May be called more than once. */
    public void release() {
      take(-bytes);
    }

    private void take(long count) {
      bytes += count;
      usedBytes += count;
      bytesBySender.merge(sender, count, Long::sum);
      bytesBySender.remove(sender, 0L);
    }
  }
}
