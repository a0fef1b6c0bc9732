package org.hibiscusreel.coordination.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.VersionSightings;

/**
 * Concludes at which version a stream without a record has begun. Each conclusion says that no
 * other version was in use, so each names what must be known for it, and as of when.
 */
final class VersionEvidence {

  /**
   * Delay in milliseconds after a question from which on a report counts. Reports that were sent
   * earlier may wait in the socket of a process that stood still.
   */
  static final long REPORT_DELAY_MILLIS = 100;

  private final Scheduler scheduler;
  private final StoreClock clock;
  private final FleetView fleet;
  private final IntSupplier daemons;
  private final VersionSightings seen = new VersionSightings();
  private final VersionSightings recorded = new VersionSightings();
  private final PeerVersions peers = new PeerVersions();
  private final Map<Long, Long> recordedRoutes = new HashMap<>(); // last time by digest
  private long lastRowWithoutRoutesAtMillis = Long.MIN_VALUE / 2;
  private long oldestRowAtMillis = Long.MAX_VALUE; // of the last read
  private long newestPeerConfiguration;
  private long newestPeerConfigurationAtMillis;
  private long era;
  private long eraSinceMillis = Long.MAX_VALUE; // time of the store
  private long countedSinceMillis;
  private int mostDaemons;
  private int mostDaemonsBefore;

  VersionEvidence(Scheduler scheduler, StoreClock clock, FleetView fleet, IntSupplier daemons) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.daemons = Objects.requireNonNull(daemons, "daemons");
  }

  /**
   * Records that an upstream is listed, or was until now.
   *
   * @return true if its version was not known
   */
  boolean onListed(UpstreamEntry upstream) {
    return seen.add(StreamOrigin.of(upstream), scheduler.nowMillis());
  }

  /** Records the versions that another daemon has seen lately. */
  void onReport(String sender, Collection<StreamOrigin> versions) {
    long now = scheduler.nowMillis();
    peers.expire(now - RouteHistory.KEEP_MILLIS);
    peers.onReport(sender, versions, now);
  }

  /** Records the version of the configuration that another daemon has confirmed lately. */
  void onPeerConfiguration(long version) {
    long now = scheduler.nowMillis();
    if (version >= newestPeerConfiguration
        || now - newestPeerConfigurationAtMillis > StreamOrigins.KEEP_MILLIS) {
      newestPeerConfiguration = version;
      newestPeerConfigurationAtMillis = now;
    }
  }

  /** Begins a read of all rows. */
  void onRead() {
    oldestRowAtMillis = Long.MAX_VALUE;
  }

  /**
   * Records what a row says of the versions.
   *
   * @param row the row
   * @param atMillis monotonic time at which it was written, in milliseconds
   */
  void onRow(OriginRow row, long atMillis) {
    oldestRowAtMillis = Math.min(oldestRowAtMillis, atMillis);
    record(row, atMillis);
  }

  /** Records what a row says of the era of the store. */
  void onRow(EraRow row) {
    if (row.era() == era) {
      eraSinceMillis = Math.min(eraSinceMillis, row.sinceMillis());
    }
  }

  /**
   * Records what the newest row of a host says that has not written for long. Its daemon may be cut
   * off, and go on with what it knew then.
   */
  void onOutdatedRow(OriginRow row) {
    record(row, scheduler.nowMillis() - StreamOrigins.KEEP_MILLIS);
  }

  private void record(OriginRow row, long atMillis) {
    row.origins().forEach(o -> recorded.add(o, atMillis));
    if (row.routes().isEmpty()) {
      lastRowWithoutRoutesAtMillis = Math.max(lastRowWithoutRoutesAtMillis, atMillis);
    }
    row.routes().ifPresent(c -> c.forEach(v -> recordedRoutes.merge(v, atMillis, Math::max)));
  }

  /** Records that a stream of another daemon began at a version. */
  void onStream(StreamOrigin origin, long atMillis) {
    recorded.add(origin, atMillis);
  }

  /**
   * Records the era of the store.
   *
   * @return true if it is another one than before
   */
  boolean onEra(long now) {
    boolean isNew = now != era;
    if (isNew || eraSinceMillis == Long.MAX_VALUE) {
      era = now;
      eraSinceMillis = clock.millis();
    }
    return isNew;
  }

  /** Returns the era and since when it is known. */
  EraRow era() {
    return new EraRow(era, eraSinceMillis);
  }

  /** Returns the versions that this daemon has seen lately. */
  Set<StreamOrigin> seenVersions() {
    observe();
    long oldest = scheduler.nowMillis() - StreamOrigins.KEEP_MILLIS;
    seen.expire(oldest);
    recorded.expire(oldest - StreamOrigins.ROW_MILLIS);
    recordedRoutes.values().removeIf(at -> at < oldest - StreamOrigins.ROW_MILLIS);
    return seen.all();
  }

  /** Returns digests of the configurations by which this daemon has served lately. */
  Set<Long> servedRoutes() {
    return fleet.routes().digestsSince(scheduler.nowMillis() - StreamOrigins.KEEP_MILLIS);
  }

  /** Notes the versions that the upstreams have now and the number of daemons. */
  private void observe() {
    long now = scheduler.nowMillis();
    fleet.upstreams().all().forEach(e -> seen.add(StreamOrigin.of(e), now));
    if (now - countedSinceMillis >= StreamOrigins.KEEP_MILLIS) {
      countedSinceMillis = now;
      mostDaemonsBefore = mostDaemons;
      mostDaemons = 0;
    }
    mostDaemons = Math.max(mostDaemons, daemons.getAsInt());
  }

  /**
   * Returns at what a stream can have begun, as far as is known.
   *
   * @param services services to which its route has led lately
   */
  Set<StreamOrigin> candidates(Set<String> services) {
    observe();
    long oldest = scheduler.nowMillis() - StreamOrigins.KEEP_MILLIS;
    Set<StreamOrigin> candidates = new HashSet<>();
    for (String s : services) {
      candidates.addAll(seen.since(s, oldest));
      candidates.addAll(recorded.since(s, oldest - StreamOrigins.ROW_MILLIS));
      // Another daemon may go on using a version that the store no longer lists.
      candidates.addAll(peers.versions(s, oldest));
    }
    return candidates;
  }

  /**
   * Returns whether the streams of a service need a record: they can have begun at several
   * versions, or at another service.
   */
  boolean isAmbiguous(String service) {
    return candidates(fleet.routes().servicesWith(service, scheduler.nowMillis())).size() > 1;
  }

  /**
   * Concludes from the view of this daemon. It must have received all changes of the upstreams for
   * as long as streams are kept, and of the configuration for as long as a host may serve by an
   * outdated one, the last of them after the question. A daemon that is not heard may be cut off
   * and go on with versions that are no longer listed.
   */
  Optional<StreamOrigin> byView(Set<String> services) {
    observe();
    long oldest = scheduler.nowMillis() - StreamOrigins.KEEP_MILLIS;
    boolean areAllHeard = peers.count(services, oldest) + 1 >= daemonCount();
    return areAllHeard && hasLongView() && isConfigurationLongFollowed()
        ? only(services)
        : Optional.empty();
  }

  private boolean isConfigurationLongFollowed() {
    return fleet.configurationFollowedMillis() >= RouteHistory.KEEP_MILLIS;
  }

  /**
   * Concludes from the rows of all daemons and the upstreams of now, both read after the question.
   * A store that was restored lately lacks rows.
   */
  Optional<StreamOrigin> byRows(Set<String> services) {
    long oldest = scheduler.nowMillis() - StreamOrigins.ROWS_MILLIS;
    boolean hasRows = services.stream().anyMatch(s -> !recorded.since(s, oldest).isEmpty());
    return hasRows && isEraOld() && isWholeTimeRecorded(oldest) && areRoutesKnown(oldest)
        ? only(services)
        : Optional.empty();
  }

  /**
   * Returns whether a row is almost as old as rows that count may be, or no daemon has started
   * before. After an outage of the store, the rows are those of daemons that have started since.
   */
  private boolean isWholeTimeRecorded(long oldestMillis) {
    boolean isFirstStart = clock.millis() - eraSinceMillis < StreamOrigins.ROWS_MILLIS;
    return isFirstStart || oldestRowAtMillis <= oldestMillis + 2 * StreamOrigins.ROW_MILLIS;
  }

  /**
   * Returns whether this daemon knows all configurations by which the rows say that daemons have
   * served.
   */
  private boolean areRoutesKnown(long oldestMillis) {
    recordedRoutes.values().removeIf(at -> at < oldestMillis);
    boolean haveAllRoutes = lastRowWithoutRoutesAtMillis < oldestMillis;
    Set<Long> own = fleet.routes().digestsSince(scheduler.nowMillis() - RouteHistory.KEEP_MILLIS);
    return (haveAllRoutes || isConfigurationFollowed()) && own.containsAll(recordedRoutes.keySet());
  }

  /**
   * Concludes from the view of this daemon and the reports of all others, sent after the question
   * by daemons that have run for as long as streams are kept.
   */
  Optional<StreamOrigin> byPeers(Set<String> services, long askedAtMillis) {
    observe();
    // One that believes to be alone may have counted the others before they had started.
    boolean areAll =
        daemonCount() > 1
            && peers.areAll(
                services,
                askedAtMillis + REPORT_DELAY_MILLIS,
                askedAtMillis - StreamOrigins.KEEP_MILLIS,
                daemonCount());
    return areAll && !isConfigurationOutdated() && hasLongView() && isConfigurationFollowed()
        ? only(services)
        : Optional.empty();
  }

  private boolean isConfigurationOutdated() {
    return newestPeerConfiguration > configuration()
        && scheduler.nowMillis() - newestPeerConfigurationAtMillis <= StreamOrigins.KEEP_MILLIS;
  }

  private long configuration() {
    return fleet.table().map(ForwardingTable::version).orElse(0L);
  }

  /** Returns the highest number of daemons of late, with this one. */
  int daemonCount() {
    return Math.max(mostDaemons, mostDaemonsBefore);
  }

  /** Returns how many other daemons have reported a version of one of the services lately. */
  long reportingCount(Set<String> services) {
    return peers.count(services, scheduler.nowMillis() - LoadExchange.HEARD_MILLIS);
  }

  private boolean hasLongView() {
    return fleet.upstreamsFollowedMillis() >= StreamOrigins.KEEP_MILLIS;
  }

  private boolean isConfigurationFollowed() {
    return fleet.configurationFollowedMillis() >= StreamOrigins.KEEP_MILLIS;
  }

  private boolean isEraOld() {
    return era == 0 || clock.millis() - eraSinceMillis >= StreamOrigins.ROWS_MILLIS;
  }

  private Optional<StreamOrigin> only(Set<String> services) {
    return Optional.of(candidates(services))
        .filter(c -> c.size() == 1)
        .map(c -> c.iterator().next());
  }
}
