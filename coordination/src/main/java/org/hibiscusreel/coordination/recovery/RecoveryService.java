package org.hibiscusreel.coordination.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hibiscusreel.coordination.budget.AllotmentService;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.BillingService;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.recovery.DeathProof;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.recovery.Reclamation;

/**
 * Registers this incarnation and, in periodic rounds, recovers the bills and tokens of ended
 * incarnations. One daemon, chosen by rendezvous hashing, does each job; conditional writes make it
 * safe for two daemons to do the same job.
 */
public final class RecoveryService {

  /**
   * Longest time between rounds. Jitter prevents daemons from reading the rows at the same time.
   * With 410 daemons and about 500 rows, rounds of 30 s on average cause about 80 reads a second.
   */
  private static final long ROUND_INTERVAL_MILLIS = 40_000;

  private static final long MIN_ROUND_INTERVAL_MILLIS = 1_000;
  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 10_000;

  /**
   * Time after a death before usage records are treated as final. Engines abort a stream 10 s after
   * its reader disconnects, and a write whose response was lost can take effect late.
   */
  private static final long COLLECTION_DELAY_MILLIS = 15_000;

  /** Limits the number of incarnations recovered, reclaimed or deleted in one round, each. */
  private static final int MAX_JOBS_PER_ROUND = 5;

  /**
   * Retention of the rows of ended incarnations, counted from when they were first seen as ended.
   * Deleting them limits the reads of a round; until then holders learn from them that a server has
   * ended.
   */
  private static final long ENDED_ROW_RETENTION_MILLIS = 24 * 3_600_000L;

  private static final String HOST_PROOF = "replaced on the same host and boot";
  private static final String PLATFORM_PROOF = "host terminated by the platform";

  private final Scheduler scheduler;
  private final TableService table;
  private final HostList hosts;
  private final MembershipView membership;
  private final ConfigurationView configuration;
  private final AllotmentService allotments;
  private final BillingService billing;
  private final EventRecorder events;
  private final LongSupplier random;
  private final boolean holdsHostLock;
  private final UsageCollector collector;
  private final AllotmentReclaimer reclaimer;
  private final OrphanedReservationCloser reservationCloser;
  private final IncarnationRegistration registration;
  private final Map<String, Long> deadSinceMillis = new HashMap<>();
  private final Map<String, Long> endedSinceMillis = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private final Set<String> reclaimed = new HashSet<>();
  private Cancellable timer = () -> {};
  private Set<String> terminatedUpstreams = Set.of();

  /**
   * Time until the usage of a dead incarnation can be collected; shortens the delay until the next
   * round.
   */
  private long untilNextCollectionMillis = Long.MAX_VALUE;

  /**
   * True if a death was proven in this round; the next round, which processes it, then starts
   * early.
   */
  private boolean hasNewDeath;

  private boolean isStopped;

  /**
   * Creates the service.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param hosts the platform's host list
   * @param engines fetches usage records
   * @param membership the other daemons
   * @param configuration provides the engines
   * @param allotments reservations and allotments of this daemon
   * @param billing bills of this daemon
   * @param events records the event timeline
   * @param random source of random bits
   * @param bootId kernel boot identifier of the host, empty if unknown
   * @param holdsHostLock whether this process holds the exclusive lock port of the host
   */
  public RecoveryService(
      Scheduler scheduler,
      TableService table,
      HostList hosts,
      EngineClient engines,
      MembershipView membership,
      ConfigurationView configuration,
      AllotmentService allotments,
      BillingService billing,
      EventRecorder events,
      LongSupplier random,
      String bootId,
      boolean holdsHostLock) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.hosts = Objects.requireNonNull(hosts, "hosts");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.allotments = Objects.requireNonNull(allotments, "allotments");
    this.billing = Objects.requireNonNull(billing, "billing");
    this.events = Objects.requireNonNull(events, "events");
    this.random = Objects.requireNonNull(random, "random");
    this.holdsHostLock = holdsHostLock;
    this.collector = new UsageCollector(scheduler, table, engines, events);
    this.reclaimer = new AllotmentReclaimer(table, events);
    this.reservationCloser = new OrphanedReservationCloser(table, allotments);
    MemberInfo self = membership.self();
    IncarnationRow row =
        new IncarnationRow(
            self.host(),
            self.failureDomain(),
            self.site(),
            self.peerAddress(),
            self.adminAddress(),
            Objects.requireNonNull(bootId, "bootId"),
            IncarnationState.LIVE,
            "",
            scheduler.wallMillis());
    Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
    this.registration =
        new IncarnationRegistration(scheduler, table, backoff, self.incarnation(), row);
  }

  /**
   * Registers this incarnation, retrying while the platform is unavailable, and starts the rounds.
   */
  public void start() {
    registration.insert(
        () -> {
          allotments.markRegistered();
          events.record("incarnation_registered", "boot=" + registration.row().bootId());
          startRound();
        });
  }

  /**
   * Ends the rounds and marks this incarnation closed if it has no open allotments, settlements or
   * bills. The allotment service and the billing service must have been stopped before.
   *
   * @return completes when the row is written, or after several attempts if the platform is
   *     unavailable
   */
  public CompletableFuture<Void> stop() {
    isStopped = true;
    timer.cancel();
    boolean isSettled = allotments.isSettled() && billing.pending() == 0;
    return registration
        .end(isSettled)
        .thenAccept(isWritten -> events.record("incarnation_stopped", "closed=" + isWritten));
  }

  /**
   * Closes the reservations that ended servers left open at this holder, so that a graceful stop
   * does not wait for them.
   *
   * @return completes when the reservations of all servers whose bills are final in the platform
   *     are closed
   */
  public CompletableFuture<Void> closeOrphanedReservations() {
    return TableReads.scanAll(table, IncarnationRegistry.PREFIX)
        .thenCompose(
            rows ->
                rows.map(r -> reservationCloser.closeAll(IncarnationRegistry.of(r)))
                    .orElseGet(RecoveryService::completedFuture));
  }

  private void startRound() {
    if (!isStopped) {
      FutureCallbacks.onEnd(
          TableReads.scanAll(table, IncarnationRegistry.PREFIX)
              .thenCompose(
                  rows -> rows.map(this::runRound).orElseGet(RecoveryService::completedFuture)),
          this::scheduleRound);
    }
  }

  private void scheduleRound() {
    long jitter = Math.floorMod(random.getAsLong(), ROUND_INTERVAL_MILLIS / 2);
    long regular = ROUND_INTERVAL_MILLIS / 2 + jitter;
    long wanted = hasNewDeath ? 0 : untilNextCollectionMillis;
    hasNewDeath = false;
    long delay = Math.max(MIN_ROUND_INTERVAL_MILLIS, Math.min(regular, wanted));
    timer = scheduler.schedule(delay, this::startRound);
  }

  private static CompletableFuture<Void> completedFuture() {
    return CompletableFuture.completedFuture(null);
  }

  private CompletableFuture<Void> runRound(List<Row> rows) {
    IncarnationRegistry registry = IncarnationRegistry.of(rows);
    allotments.updateLiveIncarnations(Set.copyOf(registry.inState(IncarnationState.LIVE)));
    return markReplacedOnHost(registry)
        .thenCompose(done -> markTerminatedByPlatform(registry))
        .thenCompose(done -> recoverDead(registry))
        .thenCompose(done -> acknowledgeDead(registry))
        .thenCompose(done -> reservationCloser.closeAll(registry))
        .thenCompose(done -> reclaimRecovered(registry))
        .thenCompose(done -> deleteOld(registry));
  }

  private CompletableFuture<Void> markReplacedOnHost(IncarnationRegistry registry) {
    Predicate<String> isReplaced =
        id ->
            DeathProof.isReplacedOnHost(registry.rows().get(id), registration.row(), holdsHostLock);
    List<String> replaced =
        registry.inState(IncarnationState.LIVE).stream()
            .filter(id -> !id.equals(self()))
            .filter(isReplaced)
            .toList();
    return FutureCallbacks.forEachSequentially(replaced, id -> markDead(registry, id, HOST_PROOF));
  }

  private CompletableFuture<Void> markTerminatedByPlatform(IncarnationRegistry registry) {
    return hosts
        .fetch()
        .thenCompose(
            listing -> {
              listing.ifPresent(l -> terminatedUpstreams = terminatedUpstreams(l));
              Set<String> terminated =
                  listing.map(RecoveryService::terminatedHosts).orElse(Set.of());
              List<String> dead =
                  registry.inState(IncarnationState.LIVE).stream()
                      .filter(id -> !id.equals(self()))
                      .filter(id -> DeathProof.isTerminated(registry.rows().get(id), terminated))
                      .filter(id -> isResponsible(registry, id))
                      .toList();
              return FutureCallbacks.forEachSequentially(
                  dead, id -> markDead(registry, id, PLATFORM_PROOF));
            });
  }

  private static Set<String> terminatedUpstreams(HostList.Listing listing) {
    return listing.upstreams().stream()
        .filter(u -> u.state() == HostList.State.TERMINATED)
        .map(HostList.ListedUpstream::name)
        .collect(Collectors.toSet());
  }

  private static Set<String> terminatedHosts(HostList.Listing listing) {
    Map<Boolean, Set<String>> byEnd =
        listing.hosts().stream()
            .collect(
                Collectors.partitioningBy(
                    h -> h.state() == HostList.State.TERMINATED,
                    Collectors.mapping(HostList.Host::host, Collectors.toSet())));
    byEnd.get(true).removeAll(byEnd.get(false));
    return byEnd.get(true);
  }

  private CompletableFuture<Void> markDead(IncarnationRegistry registry, String id, String proof) {
    return writeState(registry, id, IncarnationState.DEAD, proof)
        .thenAccept(
            isMarked -> {
              if (isMarked) {
                hasNewDeath = true;
                events.record("death_proven", "incarnation=" + id + " proof=" + proof);
              }
            });
  }

  private CompletableFuture<Boolean> writeState(
      IncarnationRegistry registry, String id, IncarnationState state, String proof) {
    String value = Json.write(registry.rows().get(id).with(state, proof));
    Mutation m = Mutation.replace(TableKeys.incarnation(id), registry.versions().get(id), value);
    return table.transact(List.of(m)).thenApply(r -> r instanceof WriteResult.Committed);
  }

  /**
   * Returns whether this daemon does the recovery work for an incarnation. The successor on the
   * same host does it, since it learns of the death first; otherwise the first-ranked daemon of the
   * incarnation's domain, or one daemon of each domain if that domain has no members.
   */
  private boolean isResponsible(IncarnationRegistry registry, String id) {
    String host = registry.rows().get(id).host();
    boolean hasSuccessor =
        registry.inState(IncarnationState.LIVE).stream()
            .anyMatch(live -> registry.rows().get(live).host().equals(host));
    if (hasSuccessor && host.equals(registration.row().host())) {
      return true;
    }
    List<MemberInfo> ranked = membership.rank(registry.rows().get(id).failureDomain(), id);
    if (ranked.isEmpty()) {
      ranked = membership.rank(membership.self().failureDomain(), id);
    }
    return !ranked.isEmpty() && ranked.get(0).incarnation().equals(self());
  }

  private CompletableFuture<Void> recoverDead(IncarnationRegistry registry) {
    List<String> dead = registry.inState(IncarnationState.DEAD);
    deadSinceMillis.keySet().retainAll(dead);
    long now = scheduler.nowMillis();
    dead.forEach(id -> deadSinceMillis.putIfAbsent(id, now));
    List<String> own = dead.stream().filter(id -> isResponsible(registry, id)).toList();
    untilNextCollectionMillis =
        own.stream()
            .mapToLong(id -> deadSinceMillis.get(id) + COLLECTION_DELAY_MILLIS - now)
            .filter(millis -> millis > 0)
            .min()
            .orElse(Long.MAX_VALUE);
    List<String> due =
        own.stream()
            .filter(id -> now - deadSinceMillis.get(id) >= COLLECTION_DELAY_MILLIS)
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.forEachSequentially(due, id -> recover(registry, id));
  }

  private CompletableFuture<Void> recover(IncarnationRegistry registry, String id) {
    IncarnationRow row = registry.rows().get(id);
    var current = configuration.current();
    if (current.isEmpty()) {
      return completedFuture();
    }
    return collector
        .recover(id, row.site(), current.get().upstreams().values(), terminatedUpstreams)
        .thenCompose(
            isComplete ->
                isComplete
                    ? writeState(registry, id, IncarnationState.RECOVERED, row.proof())
                    : CompletableFuture.completedFuture(false))
        .thenAccept(
            isMarked -> {
              if (isMarked) {
                events.record("incarnation_recovered", "incarnation=" + id);
              }
            });
  }

  private CompletableFuture<Void> acknowledgeDead(IncarnationRegistry registry) {
    List<String> dead = new ArrayList<>(registry.inState(IncarnationState.DEAD));
    dead.addAll(registry.inState(IncarnationState.RECOVERED));
    String domain = registration.row().failureDomain();
    List<String> due =
        dead.stream()
            .filter(id -> registry.rows().get(id).failureDomain().equals(domain))
            .filter(id -> !id.equals(self()) && !acknowledged.contains(id))
            .filter(allotments::acknowledgeDeath)
            .toList();
    return FutureCallbacks.forEachSequentially(due, this::acknowledge);
  }

  private CompletableFuture<Void> acknowledge(String dead) {
    Mutation m = Mutation.insert(TableKeys.acknowledgement(dead, self()), "{}");
    return table
        .transact(List.of(m))
        .thenAccept(
            result -> {
              boolean isPresent =
                  result instanceof WriteResult.Committed || result instanceof WriteResult.Conflict;
              if (isPresent) {
                acknowledged.add(dead);
                events.record("death_acknowledged", "incarnation=" + dead);
              }
            });
  }

  private CompletableFuture<Void> reclaimRecovered(IncarnationRegistry registry) {
    List<String> due =
        registry.inState(IncarnationState.RECOVERED).stream()
            .filter(id -> !reclaimed.contains(id) && isResponsible(registry, id))
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.forEachSequentially(due, id -> reclaim(registry, id));
  }

  private CompletableFuture<Void> reclaim(IncarnationRegistry registry, String id) {
    return scanAcknowledgements(id)
        .thenCompose(
            rows -> {
              Set<String> by =
                  rows.orElse(List.of()).stream()
                      .map(r -> TableKeys.lastPart(r.key()))
                      .collect(Collectors.toSet());
              return Reclamation.isAllowed(id, registry.rows(), by)
                  ? reclaimer.reclaim(id)
                  : CompletableFuture.completedFuture(false);
            })
        .thenAccept(
            isDone -> {
              if (isDone) {
                reclaimed.add(id);
              }
            });
  }

  private CompletableFuture<Optional<List<Row>>> scanAcknowledgements(String dead) {
    return TableReads.scanAll(table, TableKeys.acknowledgement(dead, ""));
  }

  private CompletableFuture<Void> deleteOld(IncarnationRegistry registry) {
    Set<String> ended = new HashSet<>(registry.inState(IncarnationState.CLOSED));
    ended.addAll(reclaimed);
    ended.retainAll(registry.rows().keySet());
    long now = scheduler.nowMillis();
    endedSinceMillis.keySet().retainAll(ended);
    ended.forEach(id -> endedSinceMillis.putIfAbsent(id, now));
    List<String> due =
        ended.stream()
            .filter(id -> isResponsible(registry, id))
            .filter(id -> now - endedSinceMillis.get(id) >= ENDED_ROW_RETENTION_MILLIS)
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.forEachSequentially(due, id -> delete(registry, id));
  }

  private CompletableFuture<Void> delete(IncarnationRegistry registry, String id) {
    return scanAcknowledgements(id)
        .thenCompose(
            rows -> {
              List<Mutation> mutations = new ArrayList<>();
              mutations.add(deletion(TableKeys.incarnation(id), registry.versions().get(id)));
              rows.orElse(List.of()).stream()
                  .limit(TableService.MAX_ROWS - 1)
                  .forEach(r -> mutations.add(deletion(r.key(), r.version())));
              return table.transact(mutations);
            })
        .thenAccept(result -> reclaimed.remove(id));
  }

  private static Mutation deletion(String key, long version) {
    return new Mutation(key, new Mutation.Expect.Version(version), new Mutation.Change.Delete());
  }

  private String self() {
    return membership.self().incarnation();
  }
}
