package org.hibiscusreel.coordination.forward;

/**
 * An answer of the daemon's own.
 *
 * @param kind why
 * @param retryAfterMillis when the caller had better come back in milliseconds, 0 for no advice
 * @param detail explanation for people
 */
public record Refusal(Kind kind, long retryAfterMillis, String detail) {

  /** Why a request is not served. */
  public enum Kind {
    /** No configuration is known yet; the request did not run. */
    NOT_CONFIGURED,
    /** No route matches. */
    NO_ROUTE,
    /** The key is missing or unknown. */
    UNKNOWN_KEY,
    /** What is left of the account's prepaid tokens does not cover the request. */
    BUDGET_EXHAUSTED,
    /** The request did not run and never will; it may be sent again. */
    NOT_RUN,
    /** No usable answer came; the request may have run. */
    FAILED,
    /** The time allowed for the request is over; it may have run. */
    TIMED_OUT,
    /** The request is malformed. */
    MALFORMED;

    /**
     * Tells whether the refusal states that the request did not run.
     *
     * @return true if the statement is made
     */
    public boolean statesNotRun() {
      return this == NOT_CONFIGURED || this == NOT_RUN;
    }
  }
}
