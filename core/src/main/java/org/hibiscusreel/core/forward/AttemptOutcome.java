package org.hibiscusreel.core.forward;

/** Outcome of an attempt that yielded no usable response from the upstream. */
public enum AttemptOutcome {
  /** No connection was opened, so nothing was sent. */
  NOT_SENT,
  /** This host reached no upstream, so nothing was sent, and the upstream is not at fault. */
  NO_PATH,
  /** The upstream reported that it did not run the request. */
  NOT_EXECUTED,
  /** The upstream ran the request and responded with an error. */
  FAILED,
  /** The connection was closed or the response was unusable; the request may have run. */
  BROKEN,
  /** No response arrived before the timeout; the request may have run. */
  SILENT;

  /**
   * Tells whether the upstream may have run the request.
   *
   * @return true unless it is certain that it did not
   */
  public boolean mayHaveRun() {
    return wasSent() && this != NOT_EXECUTED;
  }

  /**
   * Tells whether the upstream may have received the request.
   *
   * @return true unless it is certain that nothing was sent
   */
  public boolean wasSent() {
    return this != NOT_SENT && this != NO_PATH;
  }
}
