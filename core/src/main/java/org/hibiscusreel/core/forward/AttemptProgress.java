package org.hibiscusreel.core.forward;

/** How far an upstream got with a request, as its response shows. */
public enum AttemptProgress {
  /** No byte of a response arrived; the request may be queued, or its prompt being processed. */
  WAITING,
  /** The head of the response arrived, but no event and no byte of a body. */
  STARTED,
  /** An event, or a byte of a body, arrived. */
  ANSWERING;

  /**
   * Tells whether the upstream has begun to answer.
   *
   * @return true if content of the response arrived
   */
  public boolean isAnswering() {
    return this == ANSWERING;
  }
}
