package org.hibiscusreel.core.claim;

/** States of a claim row. */
public enum ClaimState {
  /** Held by one attempt, which may have dispatched the call. */
  CLAIMED,
  /** The call ran and its outcome is recorded. */
  FINISHED,
  /** The holder proved that it never dispatched and never will. */
  WITHDRAWN
}
