package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.BrittleShare;
import org.hibiscusreel.core.forward.BrittleUpstreams;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PeerLoads;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.core.forward.UpstreamLoad;
import org.hibiscusreel.core.membership.RendezvousHash;

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

  /** Largest number of limited upstreams in a report, so that it fits into a datagram. */
  static final int MAX_REPORTED_LIMITS = 50;

  /**
   * Largest number of daemons that take requests from a limit, or from the free room of a brittle
   * upstream, in common. With more daemons their reports are so rare that they would exceed it
   * before they hear of each other; then each has a fixed part, or none.
   */
  static final int MAX_COMMON_DAEMONS = 16;

  /**
   * Age in milliseconds up to which a report shows that this daemon and its sender hear each other.
   * One of two repeated reports may be lost.
   */
  static final long HEARD_MILLIS = 1_100;

  /**
   * Time for which a leaving upstream is reported, in milliseconds, so that a report arrives
   * although some are lost. The store tells of most upstreams earlier.
   */
  static final long ANNOUNCE_LEAVING_MILLIS = 3_000;

  /** Largest number of leaving upstreams in a report, so that it fits into a datagram. */
  static final int MAX_REPORTED_LEAVING = 30;

  /**
   * Age in milliseconds up to which unchanged versions are not reported again. It is shorter than
   * the interval of the repeated reports, so that each of these has them.
   */
  static final long VERSIONS_INTERVAL_MILLIS = REPEAT_INTERVAL_MILLIS - 100;

  /** Largest number of versions in a report, so that it fits into a datagram. */
  static final int MAX_REPORTED_VERSIONS = 100;

  /** Largest number of brittle upstreams in a report, so that it fits into a datagram. */
  static final int MAX_REPORTED_BRITTLE = 30;

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * This daemon, as the others know it.
   *
   * @param incarnation incarnation
   * @param address address at which it receives reports
   */
  public record Identity(String incarnation, String address) {}

  /** Receives what the reports say beside the load. */
  public interface PeerListener {

    /**
     * Called with the version of the configuration in each report.
     *
     * @param version version that another daemon has confirmed lately, 0 if none
     */
    void onVersion(long version);

    /**
     * Called with each upstream that another daemon reports as leaving.
     *
     * @param instance the upstream
     */
    default void onLeaving(LeavingUpstream instance) {}

    /**
     * Called with the versions of upstreams that another daemon has seen lately.
     *
     * @param sender incarnation of the daemon
     * @param versions the versions
     */
    default void onUpstreamVersions(String sender, List<StreamOrigin> versions) {}
  }

  private final Scheduler scheduler;
  private final LoadTransport transport;
  private final Identity self;
  private final IntSupplier daemonCount;
  private final Map<String, UpstreamLoad> ownLoad = new HashMap<>();
  private final PeerLoads peerLoads = new PeerLoads();
  private final UpstreamLimits limits = new UpstreamLimits();
  private final BrittleUpstreams brittle = new BrittleUpstreams();
  private final LongSupplier ownVersion;
  private final Supplier<Set<StreamOrigin>> upstreamVersions;
  private final PeerListener peerListener;
  private final Map<LeavingUpstream, Long> announcedUntilMillis = new LinkedHashMap<>();
  private final Map<String, Integer> ownRanks = new HashMap<>();
  private List<String> peers = List.of();
  private long sequence;
  private long lastSentAtMillis;
  private boolean isReportScheduled;
  private boolean wasLastReportEmpty = true;
  private long lastReportedVersion;
  private Set<StreamOrigin> lastUpstreamVersions = Set.of();
  private long upstreamVersionsSentAtMillis;
  private boolean areVersionsChanged;
  private boolean stopped;

  /**
   * Creates an exchange.
   *
   * @param scheduler clock and delayed tasks
   * @param transport sends and receives the reports
   * @param self incarnation and address of this daemon
   * @param daemonCount supplies the number of daemons, too high rather than too low
   * @param ownVersion version of the configuration that this daemon has confirmed lately, 0 if none
   * @param upstreamVersions versions of the upstreams' software that this daemon has seen lately
   * @param peerListener receives what the reports of other daemons say beside the load
   * @throws NullPointerException if an argument is null
   */
  public LoadExchange(
      Scheduler scheduler,
      LoadTransport transport,
      Identity self,
      IntSupplier daemonCount,
      LongSupplier ownVersion,
      Supplier<Set<StreamOrigin>> upstreamVersions,
      PeerListener peerListener) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.self = Objects.requireNonNull(self, "self");
    this.daemonCount = Objects.requireNonNull(daemonCount, "daemonCount");
    this.ownVersion = Objects.requireNonNull(ownVersion, "ownVersion");
    this.upstreamVersions = Objects.requireNonNull(upstreamVersions, "upstreamVersions");
    this.peerListener = Objects.requireNonNull(peerListener, "peerListener");
  }

  /** Starts to receive reports and to send them periodically. */
  public void start() {
    transport.receive(
        r -> {
          long now = scheduler.nowMillis();
          if (peerLoads.onReport(r, now)) {
            limits.onReport(r.sender(), r.limits(), isCommon(), now);
            brittle.onReport(r.sender(), r.brittle(), now);
            r.versions().ifPresent(v -> peerListener.onUpstreamVersions(r.sender(), v));
          }
          peerListener.onVersion(r.configurationVersion());
          r.leaving().forEach(peerListener::onLeaving);
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
    ownRanks.clear();
  }

  /**
   * Discards the load of upstreams that were removed.
   *
   * @param ids identifiers of the removed upstreams
   */
  public void onUpstreamsRemoved(Iterable<String> ids) {
    ids.forEach(ownLoad::remove);
    ids.forEach(ownRanks::remove);
    limits.onRemoved(ids);
    brittle.onRemoved(ids);
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

  /**
   * Returns when an upstream takes another request.
   *
   * @return time to wait in milliseconds, 0 if it takes one now
   */
  long waitMillis(String upstream) {
    return limits.waitMillis(upstream, limitShare(upstream), scheduler.nowMillis());
  }

  /**
   * Returns how much room a limited upstream has beyond one request.
   *
   * @return 0 to 1, 1 if the upstream has named no limit
   */
  double spareFraction(String upstream) {
    return limits.spareFraction(upstream, limitShare(upstream), scheduler.nowMillis());
  }

  /**
   * Returns the part of a limit that this daemon and those it hears may use. The rest is left to
   * daemons from which it hears nothing.
   */
  private double limitShare(String upstream) {
    OptionalDouble perSecond = limits.perSecond(upstream);
    if (perSecond.isEmpty()) {
      return 1;
    }
    int daemons = Math.max(1, daemonCount.getAsInt());
    if (isCommon()) {
      int heard = peerLoads.senderCount(scheduler.nowMillis(), HEARD_MILLIS);
      return Math.min(1, (1.0 + heard) / daemons);
    }
    int owners = (int) Math.max(1, Math.min(daemons, Math.ceil(perSecond.getAsDouble())));
    return ownRank(upstream) < owners ? 1.0 / owners : 0;
  }

  private boolean isCommon() {
    return daemonCount.getAsInt() <= MAX_COMMON_DAEMONS;
  }

  /** Returns the position of this daemon in an order of all daemons that all of them know. */
  private int ownRank(String upstream) {
    return ownRanks.computeIfAbsent(
        upstream,
        u -> {
          List<String> all = new ArrayList<>(peers);
          all.add(self.address());
          return RendezvousHash.rank(all, a -> a, u).indexOf(self.address());
        });
  }

  /** Returns the part of this daemon in the room of a brittle upstream. */
  BrittleShare brittleShare(String upstream) {
    int daemons = Math.max(1, daemonCount.getAsInt());
    int heard = peerLoads.senderCount(scheduler.nowMillis(), HEARD_MILLIS);
    long reportMillis = Math.max(REPORT_DELAY_MILLIS, minReportIntervalMillis());
    boolean mayBorrow = isCommon() && heard >= daemons - 1;
    return new BrittleShare(daemons, ownRank(upstream), mayBorrow, reportMillis);
  }

  /** Returns the brittle upstreams. */
  BrittleUpstreams brittle() {
    return brittle;
  }

  /** Returns the limits that upstreams have named. */
  UpstreamLimits limits() {
    return limits;
  }

  UpstreamLoad ownLoad(String upstream) {
    return ownLoad.computeIfAbsent(upstream, u -> new UpstreamLoad());
  }

  /** Ends all suspensions of upstreams, because this host did not reach any of them. */
  public void forgetFailures() {
    ownLoad.values().forEach(UpstreamLoad::forgetFailures);
  }

  /** Returns the load that the other daemons reported for all upstreams. */
  PeerLoads peerLoads() {
    peerLoads.expire(scheduler.nowMillis(), maxReportAgeMillis());
    return peerLoads;
  }

  /**
   * Tells the other daemons that an upstream has said that it is leaving.
   *
   * @param instance the upstream
   */
  public void announceLeaving(LeavingUpstream instance) {
    announcedUntilMillis.put(instance, scheduler.nowMillis() + ANNOUNCE_LEAVING_MILLIS);
    scheduleReport();
  }

  /**
   * Schedules a report of the versions of the upstreams, since one was listed for the first time.
   */
  public void onVersionListed() {
    areVersionsChanged = true;
    scheduleReport();
  }

  /** Schedules a report after a change of what this daemon reports. */
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
    long intervalMillis = Math.max(REPEAT_INTERVAL_MILLIS, minReportIntervalMillis());
    if (!isReportScheduled && scheduler.nowMillis() - lastSentAtMillis >= intervalMillis) {
      sendReport();
    }
    long next = lastSentAtMillis + intervalMillis - scheduler.nowMillis();
    scheduler.schedule(next > 0 ? next : intervalMillis, this::repeatReport);
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
    List<UpstreamLimits.Report> limited =
        limits.toReport(MAX_REPORTED_LIMITS, scheduler.nowMillis());
    announcedUntilMillis.values().removeIf(end -> end <= scheduler.nowMillis());
    List<LeavingUpstream> leaving =
        announcedUntilMillis.keySet().stream().limit(MAX_REPORTED_LEAVING).toList();
    List<BrittleUpstreams.Report> reportedBrittle =
        brittle.toReport(MAX_REPORTED_BRITTLE, scheduler.nowMillis());
    boolean isEmpty =
        entries.isEmpty() && limited.isEmpty() && leaving.isEmpty() && reportedBrittle.isEmpty();
    // Collecting the versions takes long where upstreams are many.
    boolean areVersionsDue =
        areVersionsChanged
            || scheduler.nowMillis() - upstreamVersionsSentAtMillis >= VERSIONS_INTERVAL_MILLIS;
    areVersionsChanged = false;
    Set<StreamOrigin> versions = areVersionsDue ? upstreamVersions.get() : lastUpstreamVersions;
    boolean areVersionsNew = !versions.equals(lastUpstreamVersions);
    boolean isUnchanged =
        isEmpty && wasLastReportEmpty && version == lastReportedVersion && !areVersionsNew;
    if (stopped || peers.isEmpty() || isUnchanged) {
      return;
    }
    wasLastReportEmpty = isEmpty;
    lastReportedVersion = version;
    lastSentAtMillis = scheduler.nowMillis();
    if (areVersionsDue) {
      upstreamVersionsSentAtMillis = lastSentAtMillis;
      lastUpstreamVersions = versions;
    }
    Optional<List<StreamOrigin>> reported =
        Optional.of(versions.stream().limit(MAX_REPORTED_VERSIONS).toList())
            .filter(v -> areVersionsDue);
    transport.send(
        peers,
        new LoadReport(
            self.incarnation(),
            ++sequence,
            version,
            entries,
            limited,
            leaving,
            reported,
            reportedBrittle));
  }
}
