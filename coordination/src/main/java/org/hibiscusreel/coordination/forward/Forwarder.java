package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.AccountSettings;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.PeerLoads;
import org.hibiscusreel.core.forward.PrefillRate;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.PromptSizes;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.core.forward.UpstreamSelector;
import org.hibiscusreel.core.retry.RetryBudget;

/** Forwards the requests of callers to upstreams. Used only on the event loop thread. */
public final class Forwarder {

  /** Retry advice in milliseconds while no configuration is known. */
  static final long UNCONFIGURED_RETRY_AFTER_MILLIS = 500;

  /** Retry advice in milliseconds while the daemon stops; other daemons serve the caller. */
  static final long STOPPING_RETRY_AFTER_MILLIS = 100;

  /** Retry advice in milliseconds while the configuration is outdated; other daemons know more. */
  static final long OUTDATED_RETRY_AFTER_MILLIS = 300;

  /** Retry advice in milliseconds while no upstream is reached; other daemons serve the caller. */
  static final long NO_PATH_RETRY_AFTER_MILLIS = 300;

  /** Shortest retry advice in milliseconds while all upstreams are at their limits. */
  static final long MIN_LIMITED_RETRY_AFTER_MILLIS = 100;

  /** Longest retry advice in milliseconds while all upstreams are at their limits. */
  static final long MAX_LIMITED_RETRY_AFTER_MILLIS = 10_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Fraction of the allowed retries that the counted daemons use. The rest is a reserve for a
   * daemon that is not counted yet.
   */
  private static final double RETRY_BUDGET_FRACTION = 0.7;

  private final Scheduler scheduler;
  private final FleetView fleet;
  private final UpstreamTransport transport;
  private final PrepaidBudgets budgets;
  private final LoadExchange loads;
  private final UpstreamCrashes crashes;
  private final StreamOrigins origins;
  private final ForwardSettings settings;
  private final DecisionLog log;
  private final LongSupplier random;
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Long> nextRoomMillis = new HashMap<>();
  private final Map<String, PromptSizes> promptSizes = new HashMap<>();
  private final Map<String, PrefillRate> prefillRates = new HashMap<>();
  private final UpstreamNotices notices;
  private final BrittleRooms brittleRooms;
  private final Set<ForwardTask> running = new HashSet<>();
  private final ResponseBuffers responseBuffers =
      new ResponseBuffers(Runtime.getRuntime().maxMemory());
  private boolean stopping;
  private long refused;
  private long served;

  /**
   * Creates a forwarder.
   *
   * @param scheduler clock and delayed tasks
   * @param fleet known configuration, upstreams and number of daemons
   * @param transport sends requests to upstreams
   * @param budgets prepaid tokens
   * @param loads loads of the upstreams
   * @param crashes requests that crash upstreams
   * @param origins upstreams at which streams have begun
   * @param settings settings
   * @param log receives a line for each request
   * @param random source of random bits
   * @throws NullPointerException if an argument is null
   */
  public Forwarder(
      Scheduler scheduler,
      FleetView fleet,
      UpstreamTransport transport,
      PrepaidBudgets budgets,
      LoadExchange loads,
      UpstreamCrashes crashes,
      StreamOrigins origins,
      ForwardSettings settings,
      DecisionLog log,
      LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.budgets = Objects.requireNonNull(budgets, "budgets");
    this.loads = Objects.requireNonNull(loads, "loads");
    this.crashes = Objects.requireNonNull(crashes, "crashes");
    this.origins = Objects.requireNonNull(origins, "origins");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.log = Objects.requireNonNull(log, "log");
    this.random = Objects.requireNonNull(random, "random");
    this.notices = new UpstreamNotices(scheduler, fleet, loads, log);
    this.brittleRooms = new BrittleRooms(scheduler, fleet, loads, log, random);
    crashes.onNewBlock(() -> List.copyOf(running).forEach(ForwardTask::endIfBlocked));
  }

  /** Handle through which the caller's connection controls a request in progress. */
  public interface Handle {

    /** Called when the caller disconnected; no response can be sent any more. */
    void onCallerDisconnected();

    /** Called when the caller's write buffer was drained, so that the upstream may continue. */
    void onWritable();
  }

  /**
   * Serves a request.
   *
   * @param request the request
   * @param exchange sends the response to the caller
   * @return handle of the request in progress
   */
  public Handle serve(CallerRequest request, CallerExchange exchange) {
    Optional<ForwardingTable> table = fleet.table();
    Optional<Refusal> refusal = checkStop();
    if (refusal.isEmpty()) {
      refusal = table.isEmpty() ? Optional.of(notConfigured()) : checkLag();
    }
    Optional<Route> route = table.flatMap(t -> t.route(request.host(), request.path()));
    Optional<AccountSettings> account = table.flatMap(t -> request.key().flatMap(t::account));
    if (refusal.isEmpty()) {
      refusal = checkRouteAndKey(table.get(), route, account).map(this::toTrueRefusal);
    }
    if (refusal.isEmpty()) {
      refusal = request.malformed().map(m -> new Refusal(Refusal.Kind.MALFORMED, 0, m));
    }
    if (refusal.isEmpty()) {
      refusal = checkPath();
    }
    if (refusal.isPresent()) {
      refuse(request, exchange, refusal.get(), table);
      return NO_OP_HANDLE;
    }
    ForwardTask task = new ForwardTask(this, table.get(), route.get(), account, request, exchange);
    running.add(task);
    task.start();
    return task;
  }

  private static final Handle NO_OP_HANDLE =
      new Handle() {
        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onWritable() {}
      };

  /** Refuses all requests from now on; those in progress go on. */
  public void stopAccepting() {
    stopping = true;
  }

  /**
   * Ends all requests in progress, each with an answer that is true: refused if it has not run,
   * without a statement if it may have run, and broken off if the caller has a part of the stream.
   */
  public void endAll() {
    List.copyOf(running).forEach(ForwardTask::endAtStop);
  }

  private Optional<Refusal> checkStop() {
    return stopping
        ? Optional.of(
            new Refusal(
                Refusal.Kind.NOT_RUN, STOPPING_RETRY_AFTER_MILLIS, "the daemon is stopping"))
        : Optional.empty();
  }

  /** Returns a refusal if this host reaches neither an upstream nor a daemon that relays. */
  Optional<Refusal> checkPath() {
    return transport.hasPath()
        ? Optional.empty()
        : Optional.of(
            new Refusal(
                Refusal.Kind.NOT_RUN,
                NO_PATH_RETRY_AFTER_MILLIS,
                "this host reaches no upstream and no daemon that relays"));
  }

  private Optional<Refusal> checkLag() {
    long lagMillis = fleet.configurationLagMillis();
    return lagMillis <= settings.configurationBoundMillis()
        ? Optional.empty()
        : Optional.of(outdated("other daemons have had a newer one for " + lagMillis + " ms"));
  }

  private static Refusal outdated(String reason) {
    return new Refusal(
        Refusal.Kind.CONFIGURATION_OUTDATED,
        OUTDATED_RETRY_AFTER_MILLIS,
        "the configuration is outdated: " + reason);
  }

  private static Refusal notConfigured() {
    return new Refusal(
        Refusal.Kind.NOT_CONFIGURED,
        UNCONFIGURED_RETRY_AFTER_MILLIS,
        "no configuration is known yet");
  }

  /**
   * Replaces a denial that a newer configuration may have lifted by a refusal that can be retried
   * at another daemon.
   */
  Refusal toTrueRefusal(Refusal denial) {
    boolean isCurrent =
        fleet.configurationLagMillis() == 0
            && fleet.configurationAgeMillis() <= settings.configurationBoundMillis();
    return isCurrent ? denial : outdated(denial.detail());
  }

  private static Optional<Refusal> checkRouteAndKey(
      ForwardingTable table, Optional<Route> route, Optional<AccountSettings> account) {
    if (route.isEmpty()) {
      return Optional.of(new Refusal(Refusal.Kind.NO_ROUTE, 0, "no route matches"));
    }
    if (table.requiresKeys() && !route.get().isPublic() && account.isEmpty()) {
      return Optional.of(new Refusal(Refusal.Kind.UNKNOWN_KEY, 0, "the key is unknown"));
    }
    return Optional.empty();
  }

  private void refuse(
      CallerRequest request,
      CallerExchange exchange,
      Refusal refusal,
      Optional<ForwardingTable> table) {
    refused++;
    log.record(
        "request",
        Map.of(
            "id",
            request.id(),
            "host",
            request.host(),
            "path",
            request.path(),
            "version",
            table.map(ForwardingTable::version).orElse(0L),
            "configuration_age_ms",
            fleet.configurationAgeMillis(),
            "outcome",
            refusal.kind().name(),
            "reason",
            refusal.detail()));
    exchange.refuse(refusal);
  }

  /**
   * Returns the number of requests in progress.
   *
   * @return 0 or more
   */
  public int inProgress() {
    return running.size();
  }

  /**
   * Returns the number of requests that received a complete response from an upstream.
   *
   * @return 0 or more
   */
  public long served() {
    return served;
  }

  /**
   * Returns the number of requests that did not receive a complete response from an upstream.
   *
   * @return 0 or more
   */
  public long refused() {
    return refused;
  }

  Optional<UpstreamSelector.Choice> chooseUpstream(
      String service,
      Optional<PromptShape> prompt,
      Predicate<UpstreamEntry> isEligible,
      long maxFirstEventMillis) {
    long now = scheduler.nowMillis();
    List<UpstreamSelector.Candidate> candidates = candidates(service, prompt, isEligible, now);
    if (hasLimits(service)) {
      candidates =
          candidates.stream()
              .filter(c -> excessMillis(service, c, prompt, maxFirstEventMillis) == 0)
              .toList();
    }
    return UpstreamSelector.choose(candidates, prompt, settings.failureDomain(), now, random);
  }

  /** Returns whether an upstream is left that can go on with a stream. */
  boolean hasUpstream(StreamOrigin origin) {
    return fleet.upstreams().usable(origin.service(), scheduler.nowMillis()).stream()
        .anyMatch(origin::isContinuedBy);
  }

  /**
   * Uses the upstreams that can go on with a stream and that only other daemons know, since this
   * one can't ask the store.
   */
  void useReportedUpstreams(StreamOrigin origin) {
    long now = scheduler.nowMillis();
    for (UpstreamEntry e : origins.reportedUpstreams(origin)) {
      if (fleet.upstreams().putReported(e, now)) {
        log.record(
            "upstream_reported",
            Map.of(
                "upstream",
                e.id(),
                "service",
                e.service(),
                "address",
                e.address(),
                "software",
                e.softwareVersion(),
                "upstreams_age_ms",
                fleet.upstreamDataAgeMillis()));
      }
    }
  }

  /**
   * Returns by how much the first event is expected too late. While some upstreams limit what they
   * take, the others may not be able to take the rest.
   */
  private long excessMillis(
      String service,
      UpstreamSelector.Candidate candidate,
      Optional<PromptShape> prompt,
      long maxFirstEventMillis) {
    if (prompt.isEmpty()) {
      return 0;
    }
    return prefillRate(service).expectedMillis(candidate.pendingPrefillTokens()).stream()
        .map(m -> Math.max(0, m - maxFirstEventMillis))
        .findAny()
        .orElse(0);
  }

  PrefillRate prefillRate(String service) {
    return prefillRates.computeIfAbsent(service, s -> new PrefillRate());
  }

  Optional<UpstreamSelector.Choice> chooseUpstreamForSuspect(
      String service,
      Optional<PromptShape> prompt,
      Predicate<UpstreamEntry> isEligible,
      String placementKey) {
    long now = scheduler.nowMillis();
    return UpstreamSelector.chooseByKey(
        candidates(service, prompt, isEligible, now), prompt, placementKey, now);
  }

  private List<UpstreamSelector.Candidate> candidates(
      String service, Optional<PromptShape> prompt, Predicate<UpstreamEntry> isEligible, long now) {
    PeerLoads others = loads.peerLoads();
    List<UpstreamSelector.Candidate> candidates = new ArrayList<>();
    for (UpstreamEntry e : fleet.upstreams().usable(service, now)) {
      if (isEligible.test(e)
          && notices.pauseMillis(e.id()) == 0
          && loads.waitMillis(e.id()) == 0
          && brittleRooms.hasRoom(e)) {
        candidates.add(new UpstreamSelector.Candidate(e, loads.ownLoad(e.id()), others.at(e.id())));
      }
    }
    return prompt.map(p -> saveLimitedRoom(service, p, candidates)).orElse(candidates);
  }

  /**
   * Leaves out limited upstreams whose room is better kept for a larger prompt. A limit counts
   * requests of any size, so that the others have least work if the limited ones take the largest.
   */
  private List<UpstreamSelector.Candidate> saveLimitedRoom(
      String service, PromptShape prompt, List<UpstreamSelector.Candidate> candidates) {
    if (!hasLimits(service)) {
      return candidates;
    }
    double rank = promptSizes(service).rank(prompt.promptTokens());
    List<UpstreamSelector.Candidate> fitting =
        candidates.stream().filter(c -> loads.spareFraction(c.entry().id()) >= 1 - rank).toList();
    boolean hasUnlimited =
        fitting.stream().anyMatch(c -> loads.limits().perSecond(c.entry().id()).isEmpty());
    return hasUnlimited ? fitting : candidates;
  }

  private boolean hasLimits(String service) {
    return loads.limitCount() > 0
        && fleet.upstreams().usable(service, scheduler.nowMillis()).stream()
            .anyMatch(e -> loads.limits().perSecond(e.id()).isPresent());
  }

  PromptSizes promptSizes(String service) {
    return promptSizes.computeIfAbsent(service, s -> new PromptSizes());
  }

  /**
   * Returns when a caller should come back that was refused because all upstreams of a service are
   * at their limits or full. Several callers get different times, so that each finds room.
   *
   * @return delay in milliseconds, or empty if an upstream takes requests
   */
  OptionalLong limitedRetryMillis(
      String service, Optional<PromptShape> prompt, long maxFirstEventMillis) {
    if (!hasLimits(service)) {
      return OptionalLong.empty();
    }
    long now = scheduler.nowMillis();
    List<UpstreamEntry> usable = fleet.upstreams().usable(service, now);
    PeerLoads others = loads.peerLoads();
    double perSecond = 0;
    long wait = Long.MAX_VALUE;
    for (UpstreamEntry e : usable) {
      UpstreamSelector.Candidate c =
          new UpstreamSelector.Candidate(e, loads.ownLoad(e.id()), others.at(e.id()));
      long excess = excessMillis(service, c, prompt, maxFirstEventMillis);
      wait = Math.min(wait, Math.max(loads.waitMillis(e.id()), excess));
      perSecond += loads.limits().perSecond(e.id()).orElse(0);
    }
    if (wait == 0) {
      return OptionalLong.empty();
    }
    double ownPerSecond =
        Math.max(UpstreamLimits.MIN_PER_SECOND, perSecond / Math.max(1, fleet.daemonCount()));
    long room = Math.max(now + wait, nextRoomMillis.getOrDefault(service, 0L));
    long retryMillis = Math.min(MAX_LIMITED_RETRY_AFTER_MILLIS, room - now);
    long intervalMillis = (long) (MILLIS_PER_SECOND / ownPerSecond);
    nextRoomMillis.put(service, now + retryMillis + intervalMillis);
    return OptionalLong.of(Math.max(MIN_LIMITED_RETRY_AFTER_MILLIS, retryMillis));
  }

  /**
   * Returns when the first upstream of a service takes requests again, if each of them asked this
   * daemon for a pause.
   *
   * @return delay in milliseconds, or empty if an upstream asked for none or there is none
   */
  OptionalLong pausedRetryMillis(String service) {
    long now = scheduler.nowMillis();
    return fleet.upstreams().usable(service, now).stream()
        .mapToLong(e -> notices.pauseMillis(e.id()))
        .min()
        .stream()
        .filter(m -> m > 0)
        .findFirst();
  }

  /**
   * Returns what the responses of upstreams say of them.
   *
   * @return the notices
   */
  public UpstreamNotices notices() {
    return notices;
  }

  BrittleRooms brittleRooms() {
    return brittleRooms;
  }

  StreamOrigins origins() {
    return origins;
  }

  UpstreamCrashes crashes() {
    return crashes;
  }

  ResponseBuffers responseBuffers() {
    return responseBuffers;
  }

  LoadExchange loads() {
    return loads;
  }

  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, s -> newRetryBudget());
  }

  private RetryBudget newRetryBudget() {
    double share = RETRY_BUDGET_FRACTION * settings.retrySlack() / fleet.daemonCount();
    return new RetryBudget(RETRY_BUDGET_FRACTION * settings.retryRatio(), Math.max(1, share));
  }

  void onEnded(ForwardTask task, boolean wasServed) {
    running.remove(task);
    if (wasServed) {
      served++;
    } else {
      refused++;
    }
  }

  Scheduler scheduler() {
    return scheduler;
  }

  FleetView fleet() {
    return fleet;
  }

  UpstreamTransport transport() {
    return transport;
  }

  PrepaidBudgets budgets() {
    return budgets;
  }

  DecisionLog log() {
    return log;
  }

  LongSupplier random() {
    return random;
  }
}
