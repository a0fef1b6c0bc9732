package org.hibiscusreel.daemon.http;

/**
 * What the connections of a server may take in total, whatever their clients do.
 *
 * @param maxConnections largest number of open connections
 * @param maxHeadBytes largest head of a request with the empty lines before it, in bytes
 * @param headMemoryBytes largest memory of the heads of all requests in progress, in bytes
 * @param responseMemoryBytes largest memory of all responses that wait until their clients read, in
 *     bytes
 */
public record ConnectionLimits(
    int maxConnections, int maxHeadBytes, long headMemoryBytes, long responseMemoryBytes) {

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
    if (maxConnections <= 0
        || maxHeadBytes <= 0
        || headMemoryBytes <= 0
        || responseMemoryBytes <= 0) {
      throw new IllegalArgumentException("a limit that is not positive");
    }
  }

  /**
   * Creates limits of a server whose responses are small, and may take as much as the heads.
   *
   * @param maxConnections largest number of open connections
   * @param maxHeadBytes largest head of a request, in bytes
   * @param headMemoryBytes largest memory of heads, and of responses, in bytes
   */
  public ConnectionLimits(int maxConnections, int maxHeadBytes, long headMemoryBytes) {
    this(maxConnections, maxHeadBytes, headMemoryBytes, headMemoryBytes);
  }

  /**
   * Returns the same limits with another memory of responses.
   *
   * @param bytes largest memory of all responses that wait until their clients read, in bytes
   * @return limits
   * @throws IllegalArgumentException if the value is not positive
   */
  public ConnectionLimits withResponseMemoryBytes(long bytes) {
    return new ConnectionLimits(maxConnections, maxHeadBytes, headMemoryBytes, bytes);
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
