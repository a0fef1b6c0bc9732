package org.hibiscusreel.core.forward;

import java.util.function.BooleanSupplier;

/** Decides whether a request is sent to another upstream after an attempt failed. */
public final class AttemptPolicy {

  /** Minimum time left for a further attempt to be worth its cost, in milliseconds. */
  public static final long MIN_REMAINING_MILLIS = 40;

  /**
   * Largest number of attempts that opened no connection. They don't count as sent, but each may
   * take a whole connect timeout.
   */
  public static final int MAX_UNSENT_ATTEMPTS = 4;

  private AttemptPolicy() {}

  /**
   * State of a request after a failed attempt.
   *
   * @param retryPolicy how often the request may run
   * @param maxAttempts largest number of upstreams that it may be sent to
   * @param sent number of upstreams that it was sent to
   * @param unsent number of attempts that opened no connection
   * @param millisLeft time until the caller's deadline or the timeout of the route
   */
  public record State(
      RetryPolicy retryPolicy, int maxAttempts, int sent, int unsent, long millisLeft) {}

  /**
   * Decides whether to try another upstream.
   *
   * @param state state of the request
   * @param outcome outcome of the last attempt
   * @param retryBudget takes one retry from the retry budget of the service and returns false if it
   *     is exhausted; called last, and only if an upstream received the last attempt
   * @return true to try another upstream
   */
  public static boolean mayRetry(State state, AttemptOutcome outcome, BooleanSupplier retryBudget) {
    if (state.millisLeft() < MIN_REMAINING_MILLIS || state.sent() >= state.maxAttempts()) {
      return false;
    }
    if (!outcome.wasSent()) {
      // A retry that was taken for this attempt has reached no upstream and covers the next one.
      return state.unsent() < MAX_UNSENT_ATTEMPTS;
    }
    if (outcome.mayHaveRun() && !state.retryPolicy().mayRunAgain()) {
      return false;
    }
    return retryBudget.getAsBoolean();
  }
}
