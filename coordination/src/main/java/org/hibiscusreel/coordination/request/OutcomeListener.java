package org.hibiscusreel.coordination.request;

/** Receives the outcomes of requests, for counters. */
@FunctionalInterface
public interface OutcomeListener {
  /**
   * Called when a request ended.
   *
   * @param outcome the outcome
   */
  void onOutcome(RequestOutcome outcome);
}
