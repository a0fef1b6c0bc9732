package org.hibiscusreel.core.recovery;

/** Life-cycle state of an incarnation as recorded in the platform's store. */
public enum IncarnationState {
  /** Assumed to be running. */
  LIVE,
  /** Stopped gracefully; it holds no allotments or unflushed bills. */
  CLOSED,
  /** Proven dead; it may still hold allotments and unflushed bills. */
  DEAD,
  /** Proven dead, and its bills were recovered from the usage records of the engines. */
  RECOVERED
}
