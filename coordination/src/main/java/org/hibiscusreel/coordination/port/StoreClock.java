package org.hibiscusreel.coordination.port;

/** Steady clock of the platform's store, which outlives every daemon. */
@FunctionalInterface
public interface StoreClock {

  /**
   * Returns a time that the store has reached already.
   *
   * @return time of the store in milliseconds, at least what the last answer said and never
   *     decreasing; 0 before the first answer
   */
  long millis();
}
