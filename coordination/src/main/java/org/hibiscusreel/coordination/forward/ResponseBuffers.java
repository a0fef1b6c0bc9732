package org.hibiscusreel.coordination.forward;

import java.util.IdentityHashMap;

/**
 * Limits the memory for responses and events that are not complete yet, since a faulty upstream may
 * send bytes without end. Not thread-safe.
 */
final class ResponseBuffers {

  /** Largest size of one response or event in bytes. */
  static final long MAX_BYTES = 4L * 1024 * 1024;

  /** Largest size of all incomplete responses and events of a daemon in bytes. */
  static final long MAX_TOTAL_BYTES = 2 * MAX_BYTES;

  private final IdentityHashMap<ForwardAttempt, Long> sizes = new IdentityHashMap<>();
  private long totalBytes;

  /**
   * Sets the number of bytes that an attempt holds.
   *
   * @return false if a limit is exceeded
   */
  boolean resize(ForwardAttempt attempt, long bytes) {
    Long before = bytes == 0 ? sizes.remove(attempt) : sizes.put(attempt, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    return bytes <= MAX_BYTES && totalBytes <= MAX_TOTAL_BYTES;
  }

  /** Forgets the bytes of an attempt that has ended. */
  void release(ForwardAttempt attempt) {
    resize(attempt, 0);
  }
}
