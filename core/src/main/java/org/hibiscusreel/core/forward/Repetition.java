package org.hibiscusreel.core.forward;

/** How often upstreams may run one request. */
public enum Repetition {
  /** At most once. */
  ONCE,
  /** Any number of times. */
  REPEATABLE,
  /** A stream that another upstream may continue after the last event that was delivered. */
  RESUMABLE;

  /**
   * Tells whether the request may be sent again after an upstream may have run it.
   *
   * @return false for {@link #ONCE}
   */
  public boolean mayRunAgain() {
    return this != ONCE;
  }
}
