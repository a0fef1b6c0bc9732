package org.hibiscusreel.core.forward;

import java.util.function.BooleanSupplier;

/** Decides whether a request is sent to another upstream after an attempt failed. */
public final class AttemptPolicy {

  /** A further attempt needs this much time to be worth its cost, in milliseconds. */
  public static final long MIN_MILLIS_LEFT = 40;

  /**
   * Attempts that never opened a connection don't count as sent, but each costs a connect timeout,
   * so their number is bounded too.
   */
  public static final int MAX_UNSENT = 4;

  private AttemptPolicy() {}

  /**
   * State of a request after a failed attempt.
   *
   * @param repetition how often the request may run
   * @param maxAttempts largest number of upstreams that it may be sent to
   * @param sent number of upstreams that it was sent to
   * @param unsent number of attempts that opened no connection
   * @param millisLeft time until the caller's deadline or the timeout of the route
   */
  public record State(
      Repetition repetition, int maxAttempts, int sent, int unsent, long millisLeft) {}

  /**
   * Decides whether to try another upstream.
   *
   * @param state state of the request
   * @param outcome outcome of the last attempt
   * @param retryBudget takes one retry from the budget of the service, false if it is used up;
   *     asked last and only for attempts that upstreams see as repeated
   * @return true to try another upstream
   */
  public static boolean mayRetry(State state, AttemptOutcome outcome, BooleanSupplier retryBudget) {
    if (state.millisLeft() < MIN_MILLIS_LEFT || state.sent() >= state.maxAttempts()) {
      return false;
    }
    if (outcome == AttemptOutcome.NOT_SENT) {
      return state.unsent() < MAX_UNSENT && (state.sent() == 0 || retryBudget.getAsBoolean());
    }
    if (outcome.mayHaveRun() && !state.repetition().mayRunAgain()) {
      return false;
    }
    return retryBudget.getAsBoolean();
  }
}
