package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PeerLoads;
import org.hibiscusreel.core.forward.UpstreamLoad;

/**
 * Loads of the upstreams, those of this daemon and those that the other daemons report. Each change
 * is reported soon, and a load that lasts is repeated, since reports may be lost. Used only on the
 * thread of the event loop.
 */
public final class LoadExchange {

  /** A change waits this long for others, a tenth of a usual prompt's reading time. */
  public static final long REPORT_DELAY_MILLIS = 15;

  /** A load that does not change is reported this often. */
  public static final long REPEAT_MILLIS = 500;

  /**
   * Reports that one daemon sends to all others together. 350 took more bytes between failure
   * domains than the requests themselves on a fleet of 70.
   */
  public static final long MAX_REPORTS_PER_SECOND = 150;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final Scheduler scheduler;
  private final LoadTransport transport;
  private final String incarnation;
  private final Map<String, UpstreamLoad> own = new HashMap<>();
  private final PeerLoads others = new PeerLoads();
  private List<String> peers = List.of();
  private long sequence;
  private long sentAt;
  private boolean isDue;
  private boolean wasEmpty = true;
  private boolean stopped;

  /**
   * Creates an exchange.
   *
   * @param scheduler time and delayed tasks
   * @param transport carries the reports
   * @param incarnation this run of the daemon
   * @throws NullPointerException if an argument is null
   */
  public LoadExchange(Scheduler scheduler, LoadTransport transport, String incarnation) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
  }

  /** Starts to receive and to repeat reports. */
  public void start() {
    transport.receive(r -> others.onReport(r, scheduler.nowMillis()));
    scheduler.schedule(REPEAT_MILLIS, this::repeat);
  }

  /** Stops sending. */
  public void stop() {
    stopped = true;
  }

  /**
   * Takes the addresses of the other daemons.
   *
   * @param addresses addresses of their load reports
   */
  public void onPeers(List<String> addresses) {
    peers = List.copyOf(addresses);
  }

  /**
   * Forgets upstreams that are gone.
   *
   * @param ids identities of the upstreams
   */
  public void onUpstreamsGone(Iterable<String> ids) {
    ids.forEach(own::remove);
  }

  /**
   * Returns the number of other daemons whose reports count.
   *
   * @return 0 or more
   */
  public int reporting() {
    others.expire(scheduler.nowMillis(), maxAgeMillis());
    return others.senders();
  }

  UpstreamLoad own(String upstream) {
    return own.computeIfAbsent(upstream, u -> new UpstreamLoad());
  }

  /** Returns what the other daemons say of all upstreams. */
  PeerLoads others() {
    others.expire(scheduler.nowMillis(), maxAgeMillis());
    return others;
  }

  /** Notes that a load of this daemon changed. */
  void onChanged() {
    if (isDue || peers.isEmpty()) {
      return;
    }
    isDue = true;
    long next = sentAt + minIntervalMillis() - scheduler.nowMillis();
    scheduler.schedule(Math.max(REPORT_DELAY_MILLIS, next), this::report);
  }

  private long minIntervalMillis() {
    return MILLIS_PER_SECOND * peers.size() / MAX_REPORTS_PER_SECOND;
  }

  private long maxAgeMillis() {
    return Math.max(PeerLoads.MIN_AGE_MILLIS, PeerLoads.MAX_INTERVALS * minIntervalMillis());
  }

  private void repeat() {
    if (stopped) {
      return;
    }
    if (!isDue && scheduler.nowMillis() - sentAt >= Math.max(REPEAT_MILLIS, minIntervalMillis())) {
      report();
    }
    scheduler.schedule(REPEAT_MILLIS, this::repeat);
  }

  private void report() {
    isDue = false;
    List<LoadReport.Entry> entries = new ArrayList<>();
    own.forEach(
        (id, load) -> {
          if (load.inFlight() > 0) {
            entries.add(new LoadReport.Entry(id, load.inFlight(), load.unreadTokens()));
          }
        });
    if (stopped || peers.isEmpty() || (entries.isEmpty() && wasEmpty)) {
      return;
    }
    wasEmpty = entries.isEmpty();
    sentAt = scheduler.nowMillis();
    transport.send(peers, new LoadReport(incarnation, ++sequence, entries));
  }
}
