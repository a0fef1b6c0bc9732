package org.hibiscusreel.daemon.http;

/**
 * What the connections of a server may take in total, whatever their clients do.
 *
 * @param maxConnections largest number of open connections
 * @param maxHeadBytes largest head of a request with the empty lines before it, in bytes
 * @param headMemoryBytes largest memory of the heads of all requests in progress, in bytes
 */
public record ConnectionLimits(int maxConnections, int maxHeadBytes, long headMemoryBytes) {

  /** Default for the largest head of a request, twice that of the strictest operator, in bytes. */
  public static final int DEFAULT_MAX_HEAD_BYTES = 32 * 1024;

  /** Smallest memory of heads, in bytes; some large ones fit in it. */
  public static final long MIN_HEAD_MEMORY_BYTES = 512 * 1024;

  private static final int HEAD_HEAP_DIVISOR = 8;

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is not positive
   */
  public ConnectionLimits {
    if (maxConnections <= 0 || maxHeadBytes <= 0 || headMemoryBytes <= 0) {
      throw new IllegalArgumentException("a limit that is not positive");
    }
  }

  /**
   * Returns the memory of heads that fits a heap.
   *
   * @param heapBytes size of the heap in bytes
   * @return memory in bytes
   */
  public static long headMemoryBytes(long heapBytes) {
    return Math.max(MIN_HEAD_MEMORY_BYTES, heapBytes / HEAD_HEAP_DIVISOR);
  }
}
