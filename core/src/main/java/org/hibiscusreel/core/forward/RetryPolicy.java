package org.hibiscusreel.core.forward;

/** Whether upstreams may run a request more than once. */
public enum RetryPolicy {
  /** At most once. */
  ONCE,
  /** Any number of times. */
  REPEATABLE,
  /**
   * Any number of times; another upstream may continue the stream after the last delivered event.
   */
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
