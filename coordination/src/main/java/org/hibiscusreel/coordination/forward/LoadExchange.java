package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PeerLoads;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.core.forward.UpstreamLoad;

/**
 * Exchanges the load that each daemon puts on the upstreams. Changes are reported after a short
 * delay, and a load that does not change is reported repeatedly, since reports may be lost. Used
 * only on the event loop thread.
 */
public final class LoadExchange {

  /**
   * Delay in milliseconds in which changes are collected into one report: a tenth of the usual
   * processing time of a prompt.
   */
  public static final long REPORT_DELAY_MILLIS = 15;

  /** Interval in milliseconds at which an unchanged load is reported again. */
  public static final long REPEAT_INTERVAL_MILLIS = 500;

  /**
   * Reports per second that one daemon sends to all others in total. At 350 reports per second and
   * 70 daemons, the reports took more bytes between failure domains than the requests.
   */
  public static final long MAX_REPORTS_PER_SECOND = 150;

  private static final long MILLIS_PER_SECOND = 1_000;

  private final Scheduler scheduler;
  private final LoadTransport transport;
  private final String incarnation;
  private final Map<String, UpstreamLoad> ownLoad = new HashMap<>();
  private final PeerLoads peerLoads = new PeerLoads();
  private final UpstreamLimits limits = new UpstreamLimits();
  private final LongSupplier ownVersion;
  private final LongConsumer peerVersions;
  private List<String> peers = List.of();
  private long sequence;
  private long lastSentAtMillis;
  private boolean isReportScheduled;
  private boolean wasLastReportEmpty = true;
  private long lastReportedVersion;
  private boolean stopped;

  /**
   * Creates an exchange.
   *
   * @param scheduler clock and delayed tasks
   * @param transport sends and receives the reports
   * @param incarnation incarnation of this daemon
   * @param ownVersion version of the configuration that this daemon has confirmed lately, 0 if none
   * @param peerVersions receives the version of the configuration in each report
   * @throws NullPointerException if an argument is null
   */
  public LoadExchange(
      Scheduler scheduler,
      LoadTransport transport,
      String incarnation,
      LongSupplier ownVersion,
      LongConsumer peerVersions) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.ownVersion = Objects.requireNonNull(ownVersion, "ownVersion");
    this.peerVersions = Objects.requireNonNull(peerVersions, "peerVersions");
  }

  /** Starts to receive reports and to send them periodically. */
  public void start() {
    transport.receive(
        r -> {
          peerLoads.onReport(r, scheduler.nowMillis());
          peerVersions.accept(r.configurationVersion());
        });
    scheduler.schedule(REPEAT_INTERVAL_MILLIS, this::repeatReport);
  }

  /** Stops sending reports. */
  public void stop() {
    stopped = true;
  }

  /**
   * Sets the addresses of the other daemons.
   *
   * @param addresses addresses at which they receive load reports
   */
  public void onPeers(List<String> addresses) {
    peers = List.copyOf(addresses);
  }

  /**
   * Discards the load of upstreams that were removed.
   *
   * @param ids identifiers of the removed upstreams
   */
  public void onUpstreamsRemoved(Iterable<String> ids) {
    ids.forEach(ownLoad::remove);
    limits.onRemoved(ids);
  }

  /**
   * Returns the number of other daemons with an unexpired report.
   *
   * @return 0 or more
   */
  public int reportingPeerCount() {
    peerLoads.expire(scheduler.nowMillis(), maxReportAgeMillis());
    return peerLoads.senderCount();
  }

  /**
   * Returns the number of upstreams that have named a limit.
   *
   * @return 0 or more
   */
  public int limitCount() {
    return limits.count();
  }

  /** Returns the limits that upstreams have named. */
  UpstreamLimits limits() {
    return limits;
  }

  UpstreamLoad ownLoad(String upstream) {
    return ownLoad.computeIfAbsent(upstream, u -> new UpstreamLoad());
  }

  /** Returns the load that the other daemons reported for all upstreams. */
  PeerLoads peerLoads() {
    peerLoads.expire(scheduler.nowMillis(), maxReportAgeMillis());
    return peerLoads;
  }

  /** Schedules a report after a change of this daemon's load. */
  void scheduleReport() {
    if (isReportScheduled || peers.isEmpty()) {
      return;
    }
    isReportScheduled = true;
    long next = lastSentAtMillis + minReportIntervalMillis() - scheduler.nowMillis();
    scheduler.schedule(Math.max(REPORT_DELAY_MILLIS, next), this::sendReport);
  }

  private long minReportIntervalMillis() {
    return MILLIS_PER_SECOND * peers.size() / MAX_REPORTS_PER_SECOND;
  }

  private long maxReportAgeMillis() {
    return Math.max(
        PeerLoads.MIN_EXPIRY_MILLIS, PeerLoads.EXPIRY_INTERVALS * minReportIntervalMillis());
  }

  private void repeatReport() {
    if (stopped) {
      return;
    }
    if (!isReportScheduled
        && scheduler.nowMillis() - lastSentAtMillis
            >= Math.max(REPEAT_INTERVAL_MILLIS, minReportIntervalMillis())) {
      sendReport();
    }
    scheduler.schedule(REPEAT_INTERVAL_MILLIS, this::repeatReport);
  }

  private void sendReport() {
    isReportScheduled = false;
    List<LoadReport.Entry> entries = new ArrayList<>();
    ownLoad.forEach(
        (id, load) -> {
          if (load.inFlight() > 0) {
            entries.add(new LoadReport.Entry(id, load.inFlight(), load.pendingPrefillTokens()));
          }
        });
    long version = ownVersion.getAsLong();
    boolean isUnchanged = entries.isEmpty() && wasLastReportEmpty && version == lastReportedVersion;
    if (stopped || peers.isEmpty() || isUnchanged) {
      return;
    }
    wasLastReportEmpty = entries.isEmpty();
    lastReportedVersion = version;
    lastSentAtMillis = scheduler.nowMillis();
    transport.send(peers, new LoadReport(incarnation, ++sequence, version, entries));
  }
}
