package org.hibiscusreel.coordination.port;

/** Monotonic clock of the platform's store, which continues across restarts of the daemons. */
public interface StoreClock {

  /**
   * Returns a lower bound of the current time of the store.
   *
   * @return time of the store in milliseconds, at least the time in the last response and never
   *     decreasing; 0 before the first response
   */
  long millis();

  /**
   * Returns an upper bound of the store's time at the moment when this process sent its first call.
   *
   * @return time of the store in milliseconds; {@code Long.MAX_VALUE} before the first response to
   *     a write
   */
  long firstCallMillis();
}
