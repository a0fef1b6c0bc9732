package org.hibiscusreel.core.recovery;

/** Life cycle of an incarnation as recorded in the platform. */
public enum IncarnationState {
  /** Running as far as the platform knows. */
  LIVE,
  /** Stopped gracefully; it holds nothing. */
  CLOSED,
  /** Proven dead; it may still hold allotments and unflushed bills. */
  DEAD,
  /** Proven dead, and its bills were recovered from the usage records of the engines. */
  RECOVERED
}
