package org.hibiscusreel.core.timeline;

/**
 * Timestamp of a hybrid logical clock; later events of a causal chain have greater timestamps.
 *
 * @param wallMillis wall-clock part in milliseconds since the epoch
 * @param counter orders events within one millisecond
 */
public record HybridTimestamp(long wallMillis, int counter) implements Comparable<HybridTimestamp> {

  @Override
  public int compareTo(HybridTimestamp other) {
    int c = Long.compare(wallMillis, other.wallMillis);
    return c != 0 ? c : Integer.compare(counter, other.counter);
  }
}
