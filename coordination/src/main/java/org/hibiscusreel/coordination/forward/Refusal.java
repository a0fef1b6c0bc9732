package org.hibiscusreel.coordination.forward;

/**
 * A refusal or failure response that the daemon itself generates.
 *
 * @param kind reason
 * @param retryAfterMillis delay after which the caller should retry, in milliseconds, 0 for no
 *     advice
 * @param detail human-readable explanation
 */
public record Refusal(Kind kind, long retryAfterMillis, String detail) {

  /** Reason why a request is not served. */
  public enum Kind {
    /** No configuration is known yet; the request did not run. */
    NOT_CONFIGURED,
    /** The configuration is too old to deny the request; it did not run. */
    CONFIGURATION_OUTDATED,
    /** No route matches. */
    NO_ROUTE,
    /** The API key is missing or unknown. */
    UNKNOWN_KEY,
    /** The remaining prepaid tokens of the client account do not cover the request. */
    BUDGET_EXHAUSTED,
    /** Requests like this one crash upstreams; this one did not run and never will. */
    CRASHES_UPSTREAMS,
    /** The request did not run and never will; it may be retried. */
    NOT_RUN,
    /** No usable response was received; the request may have run. */
    FAILED,
    /** The request timed out; it may have run. */
    TIMED_OUT,
    /** The request is malformed. */
    MALFORMED;

    /**
     * Returns whether the refusal states that the request did not run.
     *
     * @return true if the request did not run and never will
     */
    public boolean statesNotRun() {
      return switch (this) {
        case NOT_CONFIGURED, CONFIGURATION_OUTDATED, CRASHES_UPSTREAMS, NOT_RUN -> true;
        default -> false;
      };
    }
  }
}
