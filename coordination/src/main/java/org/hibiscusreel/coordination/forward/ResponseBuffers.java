package org.hibiscusreel.coordination.forward;

import java.util.IdentityHashMap;

/**
 * Limits the memory for responses and events that are not complete yet, since a faulty upstream may
 * send bytes without end. Not thread-safe.
 */
final class ResponseBuffers {

  /** Largest size of one response or event in bytes. */
  static final long MAX_BYTES = 4L * 1024 * 1024;

  /** Largest size of all incomplete responses and events of a daemon in bytes, on any heap. */
  static final long MAX_TOTAL_BYTES = 2 * MAX_BYTES;

  /** All incomplete responses and events may take the heap divided by this. */
  private static final int HEAP_DIVISOR = 6;

  private final IdentityHashMap<ForwardAttempt, Long> sizes = new IdentityHashMap<>();
  private final long maxTotalBytes;
  private long totalBytes;

  /**
   * Creates buffers without bytes.
   *
   * @param heapBytes size of the heap in bytes; one response of the largest size always fits
   */
  ResponseBuffers(long heapBytes) {
    this.maxTotalBytes = Math.min(MAX_TOTAL_BYTES, Math.max(MAX_BYTES, heapBytes / HEAP_DIVISOR));
  }

  /**
   * Sets the number of bytes that an attempt holds.
   *
   * @return false if a limit is exceeded
   */
  boolean resize(ForwardAttempt attempt, long bytes) {
    Long before = bytes == 0 ? sizes.remove(attempt) : sizes.put(attempt, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    return bytes <= MAX_BYTES && totalBytes <= maxTotalBytes;
  }

  /** Forgets the bytes of an attempt that has ended. */
  void release(ForwardAttempt attempt) {
    resize(attempt, 0);
  }
}
