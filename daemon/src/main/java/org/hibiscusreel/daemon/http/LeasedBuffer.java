package org.hibiscusreel.daemon.http;

import java.util.Arrays;
import java.util.Objects;

/**
 * Bytes of a body in one array, whose capacity is counted in a lease. The memory is taken as the
 * bytes arrive: a sender that only declares them keeps none from others.
 */
public final class LeasedBuffer {

  private final BodyMemory.Lease memory;
  private final int mostBytes;
  private byte[] content = new byte[0];
  private int size;

  /**
   * Creates an empty buffer.
   *
   * @param memory counts the capacity
   * @param mostBytes size beyond which no capacity is taken in advance, in bytes
   * @throws NullPointerException if the lease is null
   */
  public LeasedBuffer(BodyMemory.Lease memory, int mostBytes) {
    this.memory = Objects.requireNonNull(memory, "memory");
    this.mostBytes = mostBytes;
  }

  /**
   * Adds bytes. If there is no memory for them, all memory is given back and the content is lost.
   *
   * @param bytes array that holds them
   * @param offset index of the first one
   * @param count number of bytes
   * @return false if there was no memory
   */
  public boolean append(byte[] bytes, int offset, int count) {
    if (!reserve(size + count)) {
      release();
      return false;
    }
    System.arraycopy(bytes, offset, content, size, count);
    size += count;
    return true;
  }

  private boolean reserve(int bytes) {
    return bytes <= content.length
        || grow(Math.max(bytes, Math.min(2 * bytes, mostBytes)))
        || grow(bytes);
  }

  private boolean grow(int capacity) {
    boolean hasRoom = memory.grow(capacity - content.length);
    if (hasRoom) {
      content = Arrays.copyOf(content, capacity);
    }
    return hasRoom;
  }

  /** Drops the content and gives all memory back. */
  public void release() {
    content = new byte[0];
    size = 0;
    memory.release();
  }

  /**
   * Returns the content.
   *
   * @return the array of the buffer if it is full, otherwise a copy
   */
  public byte[] toArray() {
    return content.length == size ? content : Arrays.copyOf(content, size);
  }
}
