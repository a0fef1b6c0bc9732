package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Tells the other daemons at which version of a service the streams of this daemon have begun,
 * while they have to know. A daemon that can't ask the store needs it once this one has ended. Used
 * only on the event loop thread.
 */
final class StreamExchange {

  /** Delay in milliseconds in which streams are collected into one report. */
  static final long REPORT_DELAY_MILLIS = 15;

  /** Delay in milliseconds after which a stream is reported once more, since reports get lost. */
  static final long REPEAT_DELAY_MILLIS = 200;

  /** Number of reports that have a stream. */
  static final int REPORTS_PER_STREAM = 2;

  /** Reports per second that one daemon sends to all others in total. */
  static final long MAX_REPORTS_PER_SECOND = 100;

  /** Largest number of streams in a report, so that it fits into a datagram. */
  static final int MAX_STREAMS = 80;

  /** Largest number of upstreams in a report, so that it fits into a datagram. */
  static final int MAX_UPSTREAMS = 4;

  /**
   * Least interval in milliseconds at which an upstream is reported. It is shorter than the delay
   * after which a stream is reported once more, so that both reports have it.
   */
  static final long UPSTREAM_INTERVAL_MILLIS = REPEAT_DELAY_MILLIS - 50;

  /**
   * Time in milliseconds since its listing for which an upstream is reported. A daemon that has
   * been without the store for longer does not hear of it.
   */
  static final long RECENT_MILLIS = 30_000;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** A stream that has to be reported. */
  private static final class Pending {
    private final StreamOrigin origin;
    private final long begunAtMillis;
    private long dueAtMillis;
    private int reports;

    Pending(StreamOrigin origin, long begunAtMillis) {
      this.origin = origin;
      this.begunAtMillis = begunAtMillis;
      this.dueAtMillis = begunAtMillis;
    }
  }

  /** An upstream that may have to be described. */
  private static final class Listed {
    private final long atMillis;
    private long reportedAtMillis = Long.MIN_VALUE / 2;

    Listed(long atMillis) {
      this.atMillis = atMillis;
    }
  }

  private final Scheduler scheduler;
  private final StreamTransport transport;
  private final FleetView fleet;
  private final Predicate<String> isNeeded;
  private final Map<String, Pending> pending = new LinkedHashMap<>();
  private final Map<String, Listed> listed = new HashMap<>();
  private List<String> peers = List.of();
  private Cancellable next = () -> {};
  private long nextAtMillis = Long.MAX_VALUE; // time of the next report, if one is scheduled
  private long sentAtMillis = Long.MIN_VALUE / 2;
  private boolean stopped;

  /**
   * Creates an exchange without peers.
   *
   * @param scheduler clock and delayed tasks
   * @param transport sends the reports
   * @param fleet known upstreams
   * @param isNeeded tells whether the others have to know of the streams of a service
   */
  StreamExchange(
      Scheduler scheduler, StreamTransport transport, FleetView fleet, Predicate<String> isNeeded) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.isNeeded = Objects.requireNonNull(isNeeded, "isNeeded");
  }

  /** Stops sending reports. */
  void stop() {
    stopped = true;
    next.cancel();
  }

  /** Sets the addresses at which the other daemons receive reports. */
  void onPeers(List<String> addresses) {
    peers = List.copyOf(addresses);
  }

  /** Records that an upstream is listed. */
  void onListed(UpstreamEntry upstream) {
    listed.computeIfAbsent(upstream.id(), id -> new Listed(scheduler.nowMillis()));
  }

  /** Records that the first event of a stream has come. */
  void onBegun(String request, StreamOrigin origin) {
    long now = scheduler.nowMillis();
    expire(now);
    pending.remove(request);
    pending.put(request, new Pending(origin, now));
    reportAfter(REPORT_DELAY_MILLIS);
  }

  /** Forgets the oldest streams, which come first. */
  private void expire(long now) {
    var it = pending.values().iterator();
    while (it.hasNext() && now - it.next().begunAtMillis > StreamOrigins.KEEP_MILLIS) {
      it.remove();
    }
  }

  /** Returns the number of streams that are kept to be reported. */
  int pendingCount() {
    return pending.size();
  }

  /** Reports the streams of the last seconds if they have not been reported. */
  void onVersionsChanged() {
    if (!pending.isEmpty()) {
      reportAfter(REPORT_DELAY_MILLIS);
    }
  }

  private void reportAfter(long delayMillis) {
    long now = scheduler.nowMillis();
    long earliest = sentAtMillis + MILLIS_PER_SECOND * peers.size() / MAX_REPORTS_PER_SECOND;
    long at = Math.max(now + delayMillis, earliest);
    if (stopped || peers.isEmpty() || at >= nextAtMillis) {
      return;
    }
    next.cancel();
    nextAtMillis = at;
    next = scheduler.schedule(at - now, this::report);
  }

  private void report() {
    nextAtMillis = Long.MAX_VALUE;
    long now = scheduler.nowMillis();
    expire(now);
    Map<String, Boolean> needed = new HashMap<>();
    Map<StreamOrigin, List<String>> due = new LinkedHashMap<>();
    int count = 0;
    long nextDueAtMillis = Long.MAX_VALUE;
    for (Map.Entry<String, Pending> e : pending.entrySet()) {
      Pending p = e.getValue();
      if (!needed.computeIfAbsent(p.origin.service(), isNeeded::test)) {
        continue;
      }
      if (p.dueAtMillis <= now && count < MAX_STREAMS) {
        count++;
        due.computeIfAbsent(p.origin, o -> new ArrayList<>()).add(e.getKey());
        p.reports++;
        p.dueAtMillis = now + REPEAT_DELAY_MILLIS;
      }
      if (p.reports < REPORTS_PER_STREAM) {
        nextDueAtMillis = Math.min(nextDueAtMillis, p.dueAtMillis);
      }
    }
    pending.values().removeIf(p -> p.reports >= REPORTS_PER_STREAM);
    if (count > 0) {
      sentAtMillis = now;
      List<StreamReport.Streams> streams = new ArrayList<>();
      due.forEach((origin, requests) -> streams.add(new StreamReport.Streams(origin, requests)));
      transport.sendStreams(peers, new StreamReport(streams, recentUpstreams(due.keySet(), now)));
    }
    if (nextDueAtMillis != Long.MAX_VALUE) {
      reportAfter(Math.max(0, nextDueAtMillis - now));
    }
  }

  /** Returns the upstreams to describe, first those that were not reported for longest. */
  private List<UpstreamEntry> recentUpstreams(Set<StreamOrigin> origins, long now) {
    listed.keySet().removeIf(id -> fleet.upstreams().find(id).isEmpty());
    List<UpstreamEntry> result =
        origins.stream()
            .flatMap(
                o -> fleet.upstreams().usable(o.service(), now).stream().filter(o::isContinuedBy))
            .filter(e -> isDue(e, now))
            .sorted(Comparator.comparingLong(e -> listed.get(e.id()).reportedAtMillis))
            .limit(MAX_UPSTREAMS)
            .toList();
    result.forEach(e -> listed.get(e.id()).reportedAtMillis = now);
    return result;
  }

  private boolean isDue(UpstreamEntry upstream, long now) {
    Listed l = listed.get(upstream.id());
    return l != null
        && now - l.atMillis <= RECENT_MILLIS
        && now - l.reportedAtMillis >= UPSTREAM_INTERVAL_MILLIS;
  }
}
