package org.hibiscusreel.bench.sim;

/**
 * A fault or other event of a trace.
 *
 * @param at time of the start, in milliseconds since the start of the trace
 * @param kind kind of event
 * @param target affected failure domain, host, upstream or budget; empty if none
 * @param other for a cut, the second failure domain or the platform; empty otherwise
 * @param forMillis duration in milliseconds; for a kill or stop, the time until the daemon is
 *     started again
 * @param amount probability for a random fault, tokens for a top-up, delay in milliseconds for a
 *     slow platform
 */
public record Fault(
    long at, Kind kind, String target, String other, long forMillis, double amount) {

  /** Kind of event. */
  public enum Kind {
    /** The link between two failure domains, or between one and the platform, is cut. */
    CUT,
    /** The platform refuses all calls. */
    PLATFORM_DOWN,
    /** Each call to the table is delayed. */
    PLATFORM_SLOW,
    /** Responses of the table are lost after the transaction took effect. */
    LOST_RESPONSES,
    /** Transactions take effect after the client timed out. */
    LATE_EFFECTS,
    /** The daemon of a host is killed; a new one is started on the host later. */
    KILL,
    /** The daemon of a host is paused and later resumed. */
    PAUSE,
    /** The daemon of a host is stopped gracefully; a new one is started on the host later. */
    STOP,
    /** All daemons of a failure domain are killed; new ones are started later. */
    KILL_DOMAIN,
    /** An engine crashes and restarts. */
    ENGINE_CRASH,
    /** Connections to engines break in the middle of streams. */
    BROKEN_STREAMS,
    /** Pieces of engines are repeated out of order. */
    REPEATED_PIECES,
    /** Responses of plain services are lost after the call ran. */
    LOST_RECEIPTS,
    /** Tokens are added to a budget. */
    TOP_UP,
    /** The configuration is published again as the next version. */
    PUBLISH,
    /** An engine announces that it is leaving. */
    ENGINE_LEAVING
  }

  /**
   * Returns the time at which the fault ends.
   *
   * @return milliseconds since the start of the trace
   */
  public long end() {
    return at + forMillis;
  }
}
