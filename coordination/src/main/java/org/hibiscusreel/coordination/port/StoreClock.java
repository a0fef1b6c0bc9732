package org.hibiscusreel.coordination.port;

/** Monotonic clock of the platform's store, which continues across restarts of the daemons. */
@FunctionalInterface
public interface StoreClock {

  /**
   * Returns a lower bound of the current time of the store.
   *
   * @return time of the store in milliseconds, at least the time in the last response and never
   *     decreasing; 0 before the first response
   */
  long millis();
}
