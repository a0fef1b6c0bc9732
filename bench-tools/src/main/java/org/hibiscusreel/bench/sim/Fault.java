package org.hibiscusreel.bench.sim;

/**
 * One fault or event of a trace.
 *
 * @param at virtual time in milliseconds
 * @param kind what happens
 * @param target failure domain, host, upstream or budget concerned; empty if none
 * @param other second failure domain or the platform, for a cut; empty otherwise
 * @param forMillis how long it lasts; for a kill the time until the host is back
 * @param amount share of calls for a probabilistic fault, tokens for a top-up, delay in
 *     milliseconds for a slow platform
 */
public record Fault(
    long at, Kind kind, String target, String other, long forMillis, double amount) {

  /** What happens. */
  public enum Kind {
    /** Cuts the link between two failure domains, or one and the platform. */
    CUT,
    /** The platform refuses all calls. */
    PLATFORM_DOWN,
    /** The platform answers slowly. */
    PLATFORM_SLOW,
    /** Responses of the table are lost after the write took effect. */
    LOST_RESPONSES,
    /** Writes take effect after the caller gave up waiting. */
    LATE_EFFECTS,
    /** A host's daemon is killed; a new one starts on the same host later. */
    KILL,
    /** A host's daemon is paused and resumed. */
    PAUSE,
    /** A host's daemon is stopped gracefully; a new one starts on the same host later. */
    STOP,
    /** All daemons of a failure domain are killed; new ones start later. */
    KILL_DOMAIN,
    /** An engine crashes and restarts. */
    ENGINE_CRASH,
    /** Streams of engines break at some pieces. */
    BROKEN_STREAMS,
    /** Pieces of engines arrive repeatedly and late. */
    REPEATED_PIECES,
    /** Responses of plain services are lost after the run. */
    LOST_RECEIPTS,
    /** Tokens are added to a budget. */
    TOP_UP,
    /** The configuration is published again as the next version. */
    PUBLISH,
    /** An engine announces that it is leaving. */
    ENGINE_LEAVING
  }

  /**
   * Returns when the fault ends.
   *
   * @return virtual time in milliseconds
   */
  public long end() {
    return at + forMillis;
  }
}
