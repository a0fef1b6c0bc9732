package org.hibiscusreel.core.request;

import java.util.Locale;

/** Stable codes of the problem documents sent to callers, with their HTTP status. */
public enum ProblemCode {
  MISSING_KEY(401, "The client key is missing"),
  INVALID_KEY(401, "The client key is not valid"),
  MALFORMED_REQUEST(400, "The request is malformed"),
  BODY_TOO_LARGE(413, "The request body is too large"),
  UNKNOWN_MODEL(404, "The model does not exist"),
  UNKNOWN_SERVICE(404, "The service or method does not exist"),
  UNKNOWN_BUDGET(403, "The budget does not exist or belongs to another client account"),
  UNKNOWN_REQUEST(404, "The request is not known"),
  TOKEN_LIMIT_ABOVE_BUDGET(422, "The token limit is above the budget"),
  IDEMPOTENCY_KEY_REUSED(409, "The idempotency key belongs to another request"),
  IN_PROGRESS(409, "The request is in progress"),
  BUDGET_EXHAUSTED(402, "The budget is exhausted"),
  BUDGET_UNAVAILABLE(503, "The budget cannot be checked now"),
  BILLING_BACKLOG(503, "Too many bills wait for the platform"),
  CLAIM_UNAVAILABLE(503, "The request cannot be claimed now"),
  RATE_LIMITED(429, "The client account is over its limit"),
  OVERLOADED(503, "The upstreams are overloaded"),
  DEADLINE_EXCEEDED(504, "The deadline passed before the request was run"),
  REQUEST_CRASHES_UPSTREAMS(422, "The request is blocked because it crashed upstreams"),
  NO_UPSTREAM(503, "No upstream can serve the request"),
  ANSWER_INCOMPLETE(502, "The answer broke off before its end"),
  OUTCOME_UNKNOWN(502, "The outcome of the request is not known"),
  SHUTTING_DOWN(503, "The daemon is shutting down"),
  NO_CONFIGURATION(503, "The daemon has no configuration yet"),
  INTERNAL_ERROR(500, "The daemon failed to handle the request");

  private final int status;
  private final String title;

  ProblemCode(int status, String title) {
    this.status = status;
    this.title = title;
  }

  /**
   * Returns the HTTP status.
   *
   * @return a status from 400 to 599
   */
  public int status() {
    return status;
  }

  /**
   * Returns a short human-readable summary.
   *
   * @return the title, never empty
   */
  public String title() {
    return title;
  }

  /**
   * Returns the stable code of the problem document.
   *
   * @return the lower-case name, for example {@code budget_exhausted}
   */
  public String toField() {
    return name().toLowerCase(Locale.ROOT);
  }
}
