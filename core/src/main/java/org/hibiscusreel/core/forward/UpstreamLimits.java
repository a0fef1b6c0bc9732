package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Limits that upstreams name in their responses, which all daemons keep together. Each daemon has a
 * token bucket for each limited upstream, from which it takes its own requests and those that other
 * daemons report. A daemon from which no reports arrive is assumed to take an equal share. Not
 * thread-safe.
 */
public final class UpstreamLimits {

  /**
   * Lowest rate in requests per second at which an upstream is tried, so that it can name another
   * limit.
   */
  public static final double MIN_PER_SECOND = 0.2;

  /** Time after which a limit that no response names any more is forgotten, in milliseconds. */
  public static final long EXPIRY_MILLIS = 60_000;

  /** Time for which the end of a limit is reported, in milliseconds. */
  public static final long END_REPORT_MILLIS = 3_000;

  /** Time of the limit whose requests may come at once after a pause, in seconds. */
  private static final double BURST_SECONDS = 1.5;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER = Long.MAX_VALUE / 2;

  /**
   * What one daemon reports of one upstream.
   *
   * @param upstream identity of the upstream
   * @param perSecond limit in requests per second, or empty if it has ended
   * @param ageMillis time since a response said so, in milliseconds
   * @param sent number of requests that the daemon has sent since it knows the limit
   */
  public record Report(String upstream, OptionalDouble perSecond, long ageMillis, long sent) {}

  private static final class State {
    OptionalDouble perSecond = OptionalDouble.empty();
    long statedAtMillis = Long.MIN_VALUE;
    long updatedAtMillis;
    double tokens;
    long sent;
    long reportedSent;
    long reportedAtMillis = Long.MIN_VALUE;

    /** Returns the rate of this daemon and those it hears, in requests per second. */
    double rate(double share) {
      return share * Math.max(MIN_PER_SECOND, perSecond.orElse(0));
    }

    double capacity(double share) {
      return Math.max(1, BURST_SECONDS * rate(share));
    }

    void refill(double share, long nowMillis) {
      double elapsedSeconds = (nowMillis - updatedAtMillis) / MILLIS_PER_SECOND;
      tokens = Math.min(capacity(share), tokens + rate(share) * elapsedSeconds);
      updatedAtMillis = nowMillis;
    }

    /** The debt is bounded, since reports may be late or wrong. */
    void take(long count) {
      double maxDebt = 2 * Math.max(1, perSecond.orElse(0));
      tokens = Math.max(-maxDebt, tokens - count);
    }
  }

  private static final Comparator<State> REPORT_ORDER =
      Comparator.<State, Boolean>comparing(s -> s.sent == s.reportedSent)
          .thenComparing(s -> s.reportedAtMillis);

  private record SenderUpstream(String sender, String upstream) {}

  private final Map<String, State> states = new HashMap<>();
  private final Map<SenderUpstream, Long> sentByOthers = new HashMap<>();

  /**
   * Processes what a response says of the limit of its upstream. A response without a limit ends
   * the limit only if its request was sent after the limit was named last, since responses on
   * several connections may overtake each other.
   *
   * @param upstream identity of the upstream
   * @param limit what the response says
   * @param sentAtMillis time at which the request was sent
   * @param nowMillis monotonic time in milliseconds
   * @return true if the limit of the upstream changed
   */
  public boolean onResponse(
      String upstream, RequestLimit limit, long sentAtMillis, long nowMillis) {
    if (limit instanceof RequestLimit.Limited l) {
      return setLimit(upstream, OptionalDouble.of(l.perSecond()), nowMillis, nowMillis);
    }
    State s = states.get(upstream);
    boolean isEnd =
        limit instanceof RequestLimit.Unlimited
            && s != null
            && s.perSecond.isPresent()
            && sentAtMillis > s.statedAtMillis;
    return isEnd && setLimit(upstream, OptionalDouble.empty(), nowMillis, nowMillis);
  }

  private boolean setLimit(
      String upstream, OptionalDouble perSecond, long statedAtMillis, long nowMillis) {
    State s = states.computeIfAbsent(upstream, u -> new State());
    if (s.statedAtMillis > statedAtMillis) {
      return false;
    }
    boolean isNew = s.perSecond.isEmpty() && perSecond.isPresent();
    final boolean changed = !s.perSecond.equals(perSecond);
    s.perSecond = perSecond;
    s.statedAtMillis = statedAtMillis;
    if (isNew) {
      s.tokens = 0;
      s.updatedAtMillis = nowMillis;
    }
    return changed;
  }

  /**
   * Processes the report of another daemon, which may be late, repeated or lost.
   *
   * @param sender incarnation of the daemon
   * @param reports what it reports
   * @param isCommon whether the requests of the other daemon are taken from the same share
   * @param nowMillis monotonic time in milliseconds
   */
  public void onReport(String sender, List<Report> reports, boolean isCommon, long nowMillis) {
    for (Report r : reports) {
      boolean wasKnown = perSecond(r.upstream()).isPresent();
      setLimit(r.upstream(), r.perSecond(), nowMillis - r.ageMillis(), nowMillis);
      Long before = sentByOthers.put(new SenderUpstream(sender, r.upstream()), r.sent());
      if (wasKnown && isCommon) {
        states.get(r.upstream()).take(Math.max(0L, r.sent() - (before == null ? 0L : before)));
      }
    }
  }

  /**
   * Records that this daemon sent a request.
   *
   * @param upstream identity of the upstream
   */
  public void onSent(String upstream) {
    State s = states.get(upstream);
    if (s != null && s.perSecond.isPresent()) {
      s.take(1);
      s.sent++;
    }
  }

  /**
   * Returns when the upstream takes another request.
   *
   * @param upstream identity of the upstream
   * @param share part of the limit that this daemon and those it hears may use, 0 to 1
   * @param nowMillis monotonic time in milliseconds
   * @return time to wait in milliseconds, 0 if it takes one now
   */
  public long waitMillis(String upstream, double share, long nowMillis) {
    State s = states.get(upstream);
    if (s == null || s.perSecond.isEmpty() || nowMillis - s.statedAtMillis > EXPIRY_MILLIS) {
      return 0;
    }
    if (share <= 0) {
      return NEVER;
    }
    s.refill(share, nowMillis);
    return s.tokens >= 1 ? 0 : (long) Math.ceil((1 - s.tokens) / s.rate(share) * MILLIS_PER_SECOND);
  }

  /**
   * Returns how much room is left beyond one request.
   *
   * @param upstream identity of the upstream
   * @param share part of the limit that this daemon and those it hears may use, 0 to 1
   * @param nowMillis monotonic time in milliseconds
   * @return 0 if there is room for at most one request, 1 if no more room can be saved up
   */
  public double spareFraction(String upstream, double share, long nowMillis) {
    if (waitMillis(upstream, share, nowMillis) > 0) {
      return 0;
    }
    State s = states.get(upstream);
    if (s == null || s.perSecond.isEmpty()) {
      return 1;
    }
    double capacity = s.capacity(share);
    return capacity <= 1 ? 1 : (s.tokens - 1) / (capacity - 1);
  }

  /**
   * Returns what this daemon reports to the others, and forgets what has expired. New requests go
   * first, then what was not reported for longest.
   *
   * @param maxCount largest number of upstreams
   * @param nowMillis monotonic time in milliseconds
   * @return the limits, and those that ended lately
   */
  public List<Report> toReport(int maxCount, long nowMillis) {
    if (states.isEmpty()) {
      return List.of();
    }
    states
        .entrySet()
        .removeIf(
            e -> {
              State s = e.getValue();
              long lifetime = s.perSecond.isPresent() ? EXPIRY_MILLIS : END_REPORT_MILLIS;
              return nowMillis - s.statedAtMillis > lifetime;
            });
    sentByOthers.keySet().removeIf(k -> !states.containsKey(k.upstream()));
    List<Report> result = new ArrayList<>();
    states.entrySet().stream()
        .sorted(Map.Entry.comparingByValue(REPORT_ORDER))
        .limit(maxCount)
        .forEach(
            e -> {
              State s = e.getValue();
              s.reportedSent = s.sent;
              s.reportedAtMillis = nowMillis;
              result.add(new Report(e.getKey(), s.perSecond, nowMillis - s.statedAtMillis, s.sent));
            });
    return result;
  }

  /**
   * Returns the limit of an upstream.
   *
   * @param upstream identity of the upstream
   * @return requests per second, or empty if it has named none
   */
  public OptionalDouble perSecond(String upstream) {
    State s = states.get(upstream);
    return s == null ? OptionalDouble.empty() : s.perSecond;
  }

  /**
   * Returns the number of upstreams with a limit.
   *
   * @return 0 or more
   */
  public int count() {
    return (int) states.values().stream().filter(s -> s.perSecond.isPresent()).count();
  }

  /**
   * Tells whether there is nothing to report, so that no upstream has or had a limit.
   *
   * @return true if no limit is known
   */
  public boolean isEmpty() {
    return states.isEmpty();
  }

  /**
   * Discards the limits of upstreams that were removed.
   *
   * @param ids identifiers of the removed upstreams
   */
  public void onRemoved(Iterable<String> ids) {
    for (String id : ids) {
      states.remove(id);
      sentByOthers.keySet().removeIf(k -> k.upstream().equals(id));
    }
  }
}
