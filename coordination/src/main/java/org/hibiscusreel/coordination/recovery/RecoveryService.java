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
 * Registers this incarnation and recovers what ended ones left behind, in rounds. Each job is done
 * by one daemon chosen by rendezvous; conditional writes make it harmless if two daemons do it.
 */
public final class RecoveryService {

  /**
   * Longest time between rounds; the jitter keeps daemons from reading the rows together. With 410
   * daemons and about 500 rows, rounds of 30 s on average take about 80 reads a second.
   */
  private static final long ROUND_INTERVAL_MILLIS = 40_000;

  private static final long MIN_ROUND_INTERVAL_MILLIS = 1_000;
  private static final long FIRST_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 10_000;

  /**
   * Engines abort a stream 10 s after its reader is gone, and a lost write can take effect late.
   * Usage records are taken as final only after that.
   */
  private static final long COLLECT_DELAY_MILLIS = 15_000;

  /** Bounds the incarnations recovered or reclaimed in one round. */
  private static final int MAX_JOBS_PER_ROUND = 5;

  /**
   * Rows of ended incarnations are deleted a day after they were first seen, which bounds the reads
   * of a round. Until then holders find out from them that a server has ended.
   */
  private static final long KEEP_ROWS_MILLIS = 24 * 3_600_000L;

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
  private final EndedServerCloser closer;
  private final Registration registration;
  private final Map<String, Long> deadSinceMillis = new HashMap<>();
  private final Map<String, Long> endedSinceMillis = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private final Set<String> reclaimed = new HashSet<>();
  private Cancellable timer = () -> {};
  private Set<String> terminatedUpstreams = Set.of();

  /** Time until the usage of a dead incarnation is due, so that no whole round is waited for. */
  private long nextCollectionMillis = Long.MAX_VALUE;

  /** A death proven in a round is seen as such by the next one, which therefore comes soon. */
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
   * @param configuration names the engines
   * @param allotments reservations and allotments of this daemon
   * @param billing bills of this daemon
   * @param events records the time line
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
    this.closer = new EndedServerCloser(table, allotments);
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
    this.registration = new Registration(scheduler, table, backoff, self.incarnation(), row);
  }

  /** Registers this incarnation, retrying while the platform is away, and starts the rounds. */
  public void start() {
    registration.insert(
        () -> {
          allotments.markRegistered();
          events.record("incarnation_registered", "boot=" + registration.row().bootId());
          round();
        });
  }

  /**
   * Ends the rounds and marks this incarnation closed if nothing of it is left. The services of
   * allotments and billing must have stopped before.
   *
   * @return completes when the row is written, or after some attempts if the platform is away
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
   * Closes the reservations that ended servers left open here, so that a graceful stop does not
   * wait for them.
   *
   * @return completes when those are closed whose outcome the platform knows
   */
  public CompletableFuture<Void> closeEndedServers() {
    return TableReads.scanAll(table, Registry.PREFIX)
        .thenCompose(
            rows ->
                rows.map(r -> closer.closeAll(Registry.of(r))).orElseGet(RecoveryService::nothing));
  }

  private void round() {
    if (!isStopped) {
      FutureCallbacks.onEnd(
          TableReads.scanAll(table, Registry.PREFIX)
              .thenCompose(rows -> rows.map(this::runRound).orElseGet(RecoveryService::nothing)),
          this::scheduleRound);
    }
  }

  private void scheduleRound() {
    long jitter = Math.floorMod(random.getAsLong(), ROUND_INTERVAL_MILLIS / 2);
    long regular = ROUND_INTERVAL_MILLIS / 2 + jitter;
    long wanted = hasNewDeath ? 0 : nextCollectionMillis;
    hasNewDeath = false;
    long delay = Math.max(MIN_ROUND_INTERVAL_MILLIS, Math.min(regular, wanted));
    timer = scheduler.schedule(delay, this::round);
  }

  private static CompletableFuture<Void> nothing() {
    return CompletableFuture.completedFuture(null);
  }

  private CompletableFuture<Void> runRound(List<Row> rows) {
    Registry registry = Registry.of(rows);
    allotments.noteLive(Set.copyOf(registry.in(IncarnationState.LIVE)));
    return proveByHost(registry)
        .thenCompose(done -> proveByPlatform(registry))
        .thenCompose(done -> recoverDead(registry))
        .thenCompose(done -> acknowledgeDead(registry))
        .thenCompose(done -> closer.closeAll(registry))
        .thenCompose(done -> reclaimRecovered(registry))
        .thenCompose(done -> deleteOld(registry));
  }

  private CompletableFuture<Void> proveByHost(Registry registry) {
    Predicate<String> isReplaced =
        id ->
            DeathProof.isReplacedOnHost(registry.rows().get(id), registration.row(), holdsHostLock);
    List<String> replaced =
        registry.in(IncarnationState.LIVE).stream()
            .filter(id -> !id.equals(self()))
            .filter(isReplaced)
            .toList();
    return FutureCallbacks.inOrder(replaced, id -> markDead(registry, id, HOST_PROOF));
  }

  private CompletableFuture<Void> proveByPlatform(Registry registry) {
    return hosts
        .fetch()
        .thenCompose(
            listing -> {
              listing.ifPresent(l -> terminatedUpstreams = terminatedUpstreams(l));
              Set<String> terminated =
                  listing.map(RecoveryService::terminatedHosts).orElse(Set.of());
              List<String> dead =
                  registry.in(IncarnationState.LIVE).stream()
                      .filter(id -> !id.equals(self()))
                      .filter(id -> DeathProof.isTerminated(registry.rows().get(id), terminated))
                      .filter(id -> isResponsible(registry, id))
                      .toList();
              return FutureCallbacks.inOrder(dead, id -> markDead(registry, id, PLATFORM_PROOF));
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

  private CompletableFuture<Void> markDead(Registry registry, String id, String proof) {
    return mark(registry, id, IncarnationState.DEAD, proof)
        .thenAccept(
            isMarked -> {
              if (isMarked) {
                hasNewDeath = true;
                events.record("death_proven", "incarnation=" + id + " proof=" + proof);
              }
            });
  }

  private CompletableFuture<Boolean> mark(
      Registry registry, String id, IncarnationState state, String proof) {
    String value = Json.write(registry.rows().get(id).with(state, proof));
    Mutation m = Mutation.replace(TableKeys.incarnation(id), registry.versions().get(id), value);
    return table.transact(List.of(m)).thenApply(r -> r instanceof WriteResult.Committed);
  }

  /**
   * The successor on the same host does the work, since it learns of the death first; else one
   * daemon of the incarnation's domain, or one of each domain if none is left.
   */
  private boolean isResponsible(Registry registry, String id) {
    String host = registry.rows().get(id).host();
    boolean hasSuccessor =
        registry.in(IncarnationState.LIVE).stream()
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

  private CompletableFuture<Void> recoverDead(Registry registry) {
    List<String> dead = registry.in(IncarnationState.DEAD);
    deadSinceMillis.keySet().retainAll(dead);
    long now = scheduler.nowMillis();
    dead.forEach(id -> deadSinceMillis.putIfAbsent(id, now));
    List<String> own = dead.stream().filter(id -> isResponsible(registry, id)).toList();
    nextCollectionMillis =
        own.stream()
            .mapToLong(id -> deadSinceMillis.get(id) + COLLECT_DELAY_MILLIS - now)
            .filter(millis -> millis > 0)
            .min()
            .orElse(Long.MAX_VALUE);
    List<String> due =
        own.stream()
            .filter(id -> now - deadSinceMillis.get(id) >= COLLECT_DELAY_MILLIS)
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.inOrder(due, id -> recover(registry, id));
  }

  private CompletableFuture<Void> recover(Registry registry, String id) {
    IncarnationRow row = registry.rows().get(id);
    var current = configuration.current();
    if (current.isEmpty()) {
      return nothing();
    }
    return collector
        .recover(id, row.site(), current.get().upstreams().values(), terminatedUpstreams)
        .thenCompose(
            isComplete ->
                isComplete
                    ? mark(registry, id, IncarnationState.RECOVERED, row.proof())
                    : CompletableFuture.completedFuture(false))
        .thenAccept(
            isMarked -> {
              if (isMarked) {
                events.record("incarnation_recovered", "incarnation=" + id);
              }
            });
  }

  private CompletableFuture<Void> acknowledgeDead(Registry registry) {
    List<String> dead = new ArrayList<>(registry.in(IncarnationState.DEAD));
    dead.addAll(registry.in(IncarnationState.RECOVERED));
    String domain = registration.row().failureDomain();
    List<String> due =
        dead.stream()
            .filter(id -> registry.rows().get(id).failureDomain().equals(domain))
            .filter(id -> !id.equals(self()) && !acknowledged.contains(id))
            .filter(allotments::acknowledgeDeath)
            .toList();
    return FutureCallbacks.inOrder(due, this::acknowledge);
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

  private CompletableFuture<Void> reclaimRecovered(Registry registry) {
    List<String> due =
        registry.in(IncarnationState.RECOVERED).stream()
            .filter(id -> !reclaimed.contains(id) && isResponsible(registry, id))
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.inOrder(due, id -> reclaim(registry, id));
  }

  private CompletableFuture<Void> reclaim(Registry registry, String id) {
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

  private CompletableFuture<Void> deleteOld(Registry registry) {
    Set<String> ended = new HashSet<>(registry.in(IncarnationState.CLOSED));
    ended.addAll(reclaimed);
    ended.retainAll(registry.rows().keySet());
    long now = scheduler.nowMillis();
    endedSinceMillis.keySet().retainAll(ended);
    ended.forEach(id -> endedSinceMillis.putIfAbsent(id, now));
    List<String> due =
        ended.stream()
            .filter(id -> isResponsible(registry, id))
            .filter(id -> now - endedSinceMillis.get(id) >= KEEP_ROWS_MILLIS)
            .limit(MAX_JOBS_PER_ROUND)
            .toList();
    return FutureCallbacks.inOrder(due, id -> delete(registry, id));
  }

  private CompletableFuture<Void> delete(Registry registry, String id) {
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
