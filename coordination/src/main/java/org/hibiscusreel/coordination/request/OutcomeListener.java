package org.hibiscusreel.coordination.request;

/** Learns how requests ended, for counters. */
@FunctionalInterface
public interface OutcomeListener {
  /**
   * A request ended.
   *
   * @param outcome how it ended
   */
  void onOutcome(RequestOutcome outcome);
}
