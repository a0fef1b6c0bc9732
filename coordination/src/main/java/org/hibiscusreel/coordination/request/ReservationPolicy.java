package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;

/** Wait time of reservations and the problems reported for refused ones. */
final class ReservationPolicy {
  private static final long MAX_WAIT_MILLIS = 3_000;
  private static final long MIN_WAIT_MILLIS = 50;
  private static final long RETRY_AFTER_MILLIS = 2_000;

  private ReservationPolicy() {}

  /**
   * Returns how long a reservation may wait for the platform, in milliseconds: half of the
   * remaining time within fixed bounds.
   */
  static long maxWaitMillis(AdmittedRequest admittedRequest) {
    return Math.max(
        MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, admittedRequest.remainingMillis() / 2));
  }

  /** Returns the problem for a result that granted no tokens. */
  static Problem toProblem(ReservationResult result) {
    if (result instanceof ReservationResult.Exhausted e) {
      return Problem.notRun(ProblemCode.BUDGET_EXHAUSTED, e.undrawn() + " tokens are undrawn");
    }
    if (result instanceof ReservationResult.Unavailable u) {
      return Problem.notRun(ProblemCode.BUDGET_UNAVAILABLE, u.reason(), RETRY_AFTER_MILLIS);
    }
    if (result instanceof ReservationResult.AboveBudget a) {
      return Problem.notRun(
          ProblemCode.TOKEN_LIMIT_ABOVE_BUDGET, a.granted() + " tokens were ever granted");
    }
    return Problem.notRun(ProblemCode.UNKNOWN_BUDGET, "");
  }
}
