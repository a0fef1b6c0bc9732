package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Load that the other daemons put on the upstreams, from their reports. Reports may be lost,
 * delayed or reordered, and a partitioned daemon sends none, so each report expires after a short
 * time. Not thread-safe.
 */
public final class PeerLoads {

  /**
   * Minimum expiry time of a report in milliseconds. In a small fleet, a daemon with load sends a
   * report at least every half second.
   */
  public static final long MIN_EXPIRY_MILLIS = 1_500;

  /** Expiry time of a report in report intervals, so that two consecutive reports may be lost. */
  public static final long EXPIRY_INTERVALS = 3;

  /**
   * Load of all other daemons on one upstream.
   *
   * @param requests number of requests
   * @param pendingPrefillTokens estimated prompt tokens that the upstream has not prefilled yet
   */
  public record Load(int requests, long pendingPrefillTokens) {

    /** No load. */
    public static final Load NONE = new Load(0, 0);

    private Load plus(LoadReport.Entry e, int sign) {
      return new Load(
          requests + sign * e.requests(),
          Math.max(0, pendingPrefillTokens + sign * e.pendingPrefillTokens()));
    }
  }

  private record Received(LoadReport report, long receivedAtMillis) {}

  private final Map<String, Received> bySender = new HashMap<>();
  private final Map<String, Load> byUpstream = new HashMap<>();

  /**
   * Processes a report.
   *
   * @param report report of another daemon
   * @param nowMillis monotonic time in milliseconds
   * @return false if a later report of the sender is known, so that this one is ignored
   */
  public boolean onReport(LoadReport report, long nowMillis) {
    Received previous = bySender.get(report.sender());
    if (previous != null && previous.report().sequence() >= report.sequence()) {
      return false;
    }
    if (previous != null) {
      add(previous.report(), -1);
    }
    bySender.put(report.sender(), new Received(report, nowMillis));
    add(report, 1);
    return true;
  }

  /**
   * Removes expired reports.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param maxAgeMillis age after which a report expires, in milliseconds
   */
  public void expire(long nowMillis, long maxAgeMillis) {
    Iterator<Received> it = bySender.values().iterator();
    while (it.hasNext()) {
      Received r = it.next();
      if (nowMillis - r.receivedAtMillis() > maxAgeMillis) {
        add(r.report(), -1);
        it.remove();
      }
    }
  }

  /**
   * Returns the load of all other daemons on an upstream.
   *
   * @param upstream identity of the upstream
   * @return the load as last reported
   */
  public Load at(String upstream) {
    return byUpstream.getOrDefault(upstream, Load.NONE);
  }

  /**
   * Returns the number of daemons with a report that has not expired.
   *
   * @return 0 or more
   */
  public int senderCount() {
    return bySender.size();
  }

  /**
   * Returns the number of daemons with a recent report.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param maxAgeMillis age up to which a report is recent, in milliseconds
   * @return 0 or more
   */
  public int senderCount(long nowMillis, long maxAgeMillis) {
    return (int)
        bySender.values().stream()
            .filter(r -> nowMillis - r.receivedAtMillis() <= maxAgeMillis)
            .count();
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
