package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Load that the other daemons put on the upstreams, from their reports. Reports may be lost, late
 * or out of order, and a daemon that is cut off falls silent, so each counts for a short time only.
 * Not thread-safe.
 */
public final class PeerLoads {

  /** Reports of a daemon with load come at least every half second on a small fleet. */
  public static final long MIN_AGE_MILLIS = 1_500;

  /** A report counts for this many intervals of reports, so that two in a row may be lost. */
  public static final long MAX_INTERVALS = 3;

  /**
   * Load of all other daemons at one upstream.
   *
   * @param requests number of requests
   * @param unreadTokens tokens of prompts that the upstream has still to read, estimated
   */
  public record Load(int requests, long unreadTokens) {

    /** No load. */
    public static final Load NONE = new Load(0, 0);

    private Load plus(LoadReport.Entry e, int sign) {
      return new Load(
          requests + sign * e.requests(), Math.max(0, unreadTokens + sign * e.unreadTokens()));
    }
  }

  private record Received(LoadReport report, long atMillis) {}

  private final Map<String, Received> bySender = new HashMap<>();
  private final Map<String, Load> byUpstream = new HashMap<>();

  /**
   * Takes a report.
   *
   * @param report report of another daemon
   * @param nowMillis monotonic time in milliseconds
   */
  public void onReport(LoadReport report, long nowMillis) {
    Received before = bySender.get(report.sender());
    if (before != null && before.report().sequence() >= report.sequence()) {
      return;
    }
    if (before != null) {
      add(before.report(), -1);
    }
    bySender.put(report.sender(), new Received(report, nowMillis));
    add(report, 1);
  }

  /**
   * Forgets reports that are too old.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param maxAgeMillis age beyond which a report no longer counts, in milliseconds
   */
  public void expire(long nowMillis, long maxAgeMillis) {
    Iterator<Received> it = bySender.values().iterator();
    while (it.hasNext()) {
      Received r = it.next();
      if (nowMillis - r.atMillis() > maxAgeMillis) {
        add(r.report(), -1);
        it.remove();
      }
    }
  }

  /**
   * Returns the load of all other daemons at an upstream.
   *
   * @param upstream identity of the upstream
   * @return the load as last reported
   */
  public Load at(String upstream) {
    return byUpstream.getOrDefault(upstream, Load.NONE);
  }

  /**
   * Returns the number of daemons whose reports count.
   *
   * @return 0 or more
   */
  public int senders() {
    return bySender.size();
  }

  private void add(LoadReport report, int sign) {
    for (LoadReport.Entry e : report.entries()) {
      Load sum = at(e.upstream()).plus(e, sign);
      if (sum.requests() <= 0) {
        byUpstream.remove(e.upstream());
      } else {
        byUpstream.put(e.upstream(), sum);
      }
    }
  }
}
