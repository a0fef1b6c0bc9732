package org.hibiscusreel.core.claim;

/** State of a claim. */
public enum ClaimState {
  /** Held by an attempt that may have dispatched the call. */
  CLAIMED,
  /** The call ran, and its response is recorded. */
  FINISHED,
  /** The holder has established that it did not dispatch the call and never will. */
  WITHDRAWN
}
