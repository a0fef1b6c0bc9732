package org.hibiscusreel.core.forward;

/** What one attempt at an upstream came to, without a usable answer. */
public enum AttemptOutcome {
  /** No connection was opened, so nothing was sent. */
  NOT_SENT,
  /** The upstream states that it did not run the request. */
  NOT_EXECUTED,
  /** The upstream answered with a failure of its own after it ran the request. */
  FAILED,
  /** The connection ended, or an answer came that can't be used; the request may have run. */
  BROKEN,
  /** No answer came in time; the request may have run. */
  SILENT;

  /**
   * Tells whether the upstream may have run the request.
   *
   * @return true unless it is certain that it did not
   */
  public boolean mayHaveRun() {
    return this != NOT_SENT && this != NOT_EXECUTED;
  }
}
