package org.hibiscusreel.daemon.forward;

import com.codahale.metrics.Gauge;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.hibiscusreel.coordination.forward.FleetFollower;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HolderCopies;
import org.hibiscusreel.coordination.forward.LoadExchange;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.coordination.forward.StreamOrigins;
import org.hibiscusreel.coordination.forward.UpstreamCrashes;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.LinkUse;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.ConnectionProbe;
import org.hibiscusreel.daemon.http.TrafficListener;

/**
 * Daemon that forwards requests of callers to upstreams. Used only on the thread of the event loop.
 */
public final class ForwardDaemon {

  /**
   * Time in milliseconds that the port stays open after a stop request. The load balancer checks
   * readiness once a second and removes a daemon after two failed checks, so new connections may
   * arrive until then.
   */
  static final long STOP_LISTENING_DELAY_MILLIS = 2_500;

  /**
   * Time reserved at the end of the grace period for returning unused tokens and exiting, in
   * milliseconds.
   */
  static final long EXIT_RESERVE_MILLIS = 1_200;

  /** Time in milliseconds in which the last answers are sent before the process ends. */
  static final long LAST_ANSWERS_MILLIS = 150;

  /**
   * Connect timeout for upstreams. An upstream in the same region accepts a connection within a few
   * milliseconds unless it is down.
   */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

  /**
   * Lag behind the configuration of other daemons up to which a daemon is ready, as a fraction of
   * the bound for a configuration to be in force.
   */
  private static final double READY_LAG_FRACTION = 0.5;

  /**
   * Settings of the daemon.
   *
   * @param host name of the host
   * @param incarnation identifier of this run of the daemon
   * @param callers address of the callers' HTTP server
   * @param status address that serves readiness and metrics
   * @param metrics second address that serves readiness and metrics
   * @param peers address that receives the load reports of other daemons
   * @param graceMillis time from the stop request until the process is killed, in milliseconds
   * @param linkBytesPerSecond capacity of each direction of the host's link in bytes per second
   * @param storeWritesPerSecond write rate that the store accepts from all daemons together
   * @param intake what the clients may take of the descriptors and the memory
   * @param forward settings of the forwarder
   */
  public record Settings(
      String host,
      String incarnation,
      InetSocketAddress callers,
      InetSocketAddress status,
      InetSocketAddress metrics,
      InetSocketAddress peers,
      long graceMillis,
      double linkBytesPerSecond,
      double storeWritesPerSecond,
      IntakeLimits intake,
      ForwardSettings forward) {}

  /**
   * External services and message formats that the daemon uses.
   *
   * @param table table service of the store
   * @param feed change feed of the store
   * @param clock clock of the store
   * @param rows tables and parsers of the rows that the operator and the upstreams write
   * @param callerDialect message format of the callers
   * @param upstreamDialect message format of the upstreams
   */
  public record Dependencies(
      TableService table,
      ChangeFeed feed,
      StoreClock clock,
      FleetFollower.RowFormat rows,
      CallerDialect callerDialect,
      UpstreamDialect upstreamDialect) {}

  private final Settings settings;
  private final Scheduler scheduler;
  private final JsonDecisionLog log;
  private final LinkUse link;
  private final FleetFollower fleet;
  private final HolderCopies holderCopies;
  private final PrepaidBudgets budgets;
  private final UdpLoadTransport loadTransport;
  private final LoadExchange loadExchange;
  private final UpstreamCrashes crashes;
  private final StreamOrigins origins;
  private final UpstreamPaths paths;
  private final Forwarder forwarder;
  private final RelayServer relay;
  private final ForwardServer server;
  private final StatusServer status;
  private final StatusServer metrics;
  private final DecisionMetrics decisions;
  private CompletableFuture<Void> stopping;
  private boolean wasReady;

  /**
   * Creates a daemon that is not started yet.
   *
   * @param settings settings of the daemon
   * @param ports external services and message formats
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param log receives the decisions
   * @throws NullPointerException if an argument is null
   */
  public ForwardDaemon(
      Settings settings,
      Dependencies ports,
      NioReactor reactor,
      Scheduler scheduler,
      JsonDecisionLog log) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.log = Objects.requireNonNull(log, "log");
    this.decisions = new DecisionMetrics(log);
    this.link = new LinkUse(settings.linkBytesPerSecond());
    final TrafficListener traffic = new LinkTraffic();
    this.fleet =
        new FleetFollower(
            ports.feed(),
            ports.table(),
            scheduler,
            settings.host(),
            new FleetFollower.HostRow(settings.incarnation(), formatAddress(settings.peers())),
            ports.rows(),
            decisions,
            new FleetListener());
    this.loadTransport = new UdpLoadTransport(reactor, settings.peers());
    this.holderCopies = new HolderCopies(scheduler, loadTransport, formatAddress(settings.peers()));
    this.budgets =
        new PrepaidBudgets(
            ports.table(),
            scheduler,
            ports.clock(),
            new PrepaidBudgets.Identity(settings.host(), settings.incarnation()),
            settings.storeWritesPerSecond(),
            fleet::daemonCount,
            holderCopies,
            decisions);
    this.loadExchange =
        new LoadExchange(
            scheduler,
            loadTransport,
            new LoadExchange.Identity(settings.incarnation(), formatAddress(settings.peers())),
            fleet::daemonCount,
            this::confirmedVersion,
            this::seenVersions,
            new PeerListener());
    this.crashes =
        new UpstreamCrashes(scheduler, loadTransport, formatAddress(settings.peers()), decisions);
    this.origins =
        new StreamOrigins(
            ports.table(),
            scheduler,
            ports.clock(),
            fleet,
            settings.host(),
            settings.storeWritesPerSecond(),
            fleet::daemonCount,
            loadTransport,
            decisions);
    this.paths =
        new UpstreamPaths(
            scheduler,
            () -> fleet.upstreams().all(),
            new ConnectionProbe(reactor, CONNECT_TIMEOUT)::connect,
            loadExchange::forgetFailures,
            ThreadLocalRandom.current()::nextLong,
            decisions);
    this.forwarder =
        new Forwarder(
            scheduler,
            fleet,
            new HttpUpstreamTransport(
                new AsyncHttpClient(reactor, CONNECT_TIMEOUT, traffic),
                ports.upstreamDialect(),
                paths),
            budgets,
            loadExchange,
            crashes,
            origins,
            settings.forward(),
            decisions,
            ThreadLocalRandom.current()::nextLong);
    this.relay =
        new RelayServer(
            reactor,
            scheduler,
            settings.peers(),
            CONNECT_TIMEOUT,
            settings.intake().relays(),
            new RelayAdmission(
                    scheduler::nowMillis,
                    fleet.upstreams(),
                    forwarder.notices()::pauseMillis,
                    paths::isIsolated)
                ::decide,
            paths,
            forwarder.notices()::onNotice,
            ports.upstreamDialect(),
            traffic,
            decisions);
    final BodyMemory bodies = newBodyMemory(settings.intake());
    this.server =
        new ForwardServer(
            reactor,
            scheduler,
            settings.callers(),
            forwarder,
            ports.callerDialect(),
            this::isReady,
            settings.intake().callers(),
            traffic,
            decisions,
            bodies);
    this.status = newStatusServer(reactor, settings.status());
    this.metrics = newStatusServer(reactor, settings.metrics());
    decisions.register("requests.in_progress", forwarder::inProgress);
    decisions.register("requests.served", forwarder::served);
    decisions.register("requests.refused", forwarder::refused);
    decisions.register("callers.body_bytes", bodies::usedBytes);
    decisions.register("callers.body_bytes_limit", settings.intake()::bodyMemoryBytes);
    decisions.register("callers.connections", server::connectionCount);
    registerLimits("callers", settings.intake().callers(), server::closedByLimits);
    decisions.register("callers.head_bytes", server::headBytes);
    decisions.register("callers.unsent_bytes", server::unsentBytes);
    decisions.register(
        "callers.unsent_bytes_limit", settings.intake().callers()::responseMemoryBytes);
    registerLimits("status", settings.intake().status(), status::closedByLimits);
    registerLimits("metrics", settings.intake().status(), metrics::closedByLimits);
    registerLimits("relay", settings.intake().relays(), relay::closedByLimits);
    decisions.register("relay.head_bytes", relay::headBytes);
    decisions.register("configuration.version", this::configurationVersion);
    decisions.register("configuration.lag_ms", fleet::configurationLagMillis);
    decisions.register("configuration.age_ms", fleet::configurationAgeMillis);
    decisions.register("upstreams.age_ms", fleet::upstreamDataAgeMillis);
    decisions.register("peers.reporting", loadExchange::reportingPeerCount);
    decisions.register("crashes.blocks", crashes::blockCount);
    decisions.register("upstreams.limited", loadExchange::limitCount);
    decisions.register("upstreams.isolated", () -> paths.isIsolated() ? 1 : 0);
    decisions.register("relay.connections", relay::connectionCount);
    decisions.register("log.dropped", log::dropped);
  }

  private StatusServer newStatusServer(NioReactor reactor, InetSocketAddress address) {
    return new StatusServer(
        reactor, scheduler, address, settings.intake().status(), this::isReady, decisions::toText);
  }

  private void registerLimits(String port, ConnectionLimits limits, Gauge<Long> closed) {
    decisions.register(port + ".max_connections", limits::maxConnections);
    decisions.register(port + ".max_head_bytes", limits::maxHeadBytes);
    decisions.register(port + ".head_bytes_limit", limits::headMemoryBytes);
    decisions.register(port + ".closed_by_limits", closed);
  }

  /**
   * Leaves room for others beside one sender, and for small bodies beside large ones. Heads and
   * responses that are not read take from the same memory.
   */
  private BodyMemory newBodyMemory(IntakeLimits limits) {
    long limit = limits.bodyMemoryBytes();
    return new BodyMemory(
        limit,
        Math.max(ForwardServer.MAX_BODY_BYTES, limit / 2),
        limits.smallBodyMemoryBytes(),
        () -> this.server.headBytes() + this.server.unsentBytes());
  }

  private static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Starts all servers and background tasks.
   *
   * @throws IOException if an address can't be bound
   */
  public void start() throws IOException {
    log.start();
    decisions.record(
        "start",
        Map.of("host", settings.host(), "failure_domain", settings.forward().failureDomain()));
    // A process holds the address of its readiness until it ends, also while it stops. Binding it
    // shows that an earlier process of this host has ended, which the calls to the store rely on.
    status.start();
    metrics.start();
    server.start();
    loadTransport.start();
    relay.start();
    loadExchange.start();
    crashes.start();
    fleet.start();
    budgets.start();
    origins.start();
  }

  /** Records a reload request, which has no effect: the settings file is read at the start only. */
  public void onSettingsChanged() {
    decisions.record("reload", Map.of("outcome", "unchanged until the next start"));
  }

  private boolean isReady() {
    boolean isLinkOverloaded = link.isOverloaded(scheduler.nowMillis());
    boolean isReady =
        stopping == null
            && fleet.isReady()
            && crashes.isInformed()
            && !isFallingBehind()
            && !paths.isStranded()
            && !isLinkOverloaded;
    if (isReady != wasReady) {
      wasReady = isReady;
      decisions.record(
          "readiness",
          Map.of(
              "ready",
              isReady,
              "version",
              configurationVersion(),
              "configuration_age_ms",
              fleet.configurationAgeMillis(),
              "configuration_lag_ms",
              fleet.configurationLagMillis(),
              "upstreams_age_ms",
              fleet.upstreamDataAgeMillis(),
              "link_overloaded",
              isLinkOverloaded,
              "stranded",
              paths.isStranded()));
    }
    return isReady;
  }

  /**
   * Tells whether this daemon lags so far behind the configuration of others that it may have to
   * refuse requests before callers have moved to another one.
   */
  private boolean isFallingBehind() {
    return fleet.configurationLagMillis()
        > READY_LAG_FRACTION * settings.forward().configurationBoundMillis();
  }

  /**
   * Returns the version of the configuration, or 0 if it was not confirmed within its bound, so
   * that a daemon without the store does not make others with an older version refuse requests.
   */
  private long confirmedVersion() {
    return fleet.configurationAgeMillis() <= settings.forward().configurationBoundMillis()
        ? configurationVersion()
        : 0;
  }

  private Set<StreamOrigin> seenVersions() {
    return origins.seenVersions();
  }

  private long configurationVersion() {
    return fleet.table().map(ForwardingTable::version).orElse(0L);
  }

  /**
   * Stops after the requests in progress have finished and their responses were sent, or when the
   * grace period is nearly over.
   *
   * @return completes when the process may exit
   */
  public CompletableFuture<Void> stop() {
    if (stopping != null) {
      return stopping;
    }
    stopping = new CompletableFuture<>();
    decisions.record("stop", Map.of("in_progress", forwarder.inProgress()));
    server.announceStop();
    relay.announceStop();
    long exitAt = scheduler.nowMillis() + settings.graceMillis() - EXIT_RESERVE_MILLIS;
    scheduler.schedule(STOP_LISTENING_DELAY_MILLIS, () -> stopServing(exitAt));
    return stopping;
  }

  private void stopServing(long exitAt) {
    // A request that comes later could hardly end within the grace period.
    forwarder.stopAccepting();
    server.stop();
    awaitRequests(exitAt);
  }

  private void awaitRequests(long exitAt) {
    boolean isIdle =
        forwarder.inProgress() == 0
            && server.respondingCount() == 0
            && relay.connectionCount() == 0;
    if (!isIdle && scheduler.nowMillis() < exitAt) {
      scheduler.schedule(DRAIN_POLL_INTERVAL_MILLIS, () -> awaitRequests(exitAt));
      return;
    }
    decisions.record(
        "stopped",
        Map.of(
            "unfinished",
            forwarder.inProgress(),
            "responding",
            server.respondingCount(),
            "relayed",
            relay.connectionCount()));
    forwarder.endAll();
    scheduler.schedule(LAST_ANSWERS_MILLIS, this::stopServices);
  }

  private void stopServices() {
    fleet.stop();
    paths.stop();
    relay.stop();
    origins.stop();
    loadExchange.stop();
    crashes.stop();
    loadTransport.stop();
    var unused = budgets.stop().thenAccept(v -> completeStop());
  }

  private void completeStop() {
    log.stop();
    stopping.complete(null);
  }

  /** Counts the traffic with callers and upstreams. */
  private final class LinkTraffic implements TrafficListener {

    @Override
    public void onReceived(int bytes) {
      link.onReceived(bytes, scheduler.nowMillis());
    }

    @Override
    public void onSent(int bytes) {
      link.onSent(bytes, scheduler.nowMillis());
    }
  }

  private final class PeerListener implements LoadExchange.PeerListener {

    @Override
    public void onVersion(long version) {
      fleet.onPeerVersion(version);
      origins.onPeerConfiguration(version);
    }

    @Override
    public void onLeaving(LeavingUpstream instance) {
      if (fleet.upstreams().onLeaving(instance)) {
        decisions.record("upstream_leaving", Map.of("upstream", instance.id(), "source", "daemon"));
      }
    }

    @Override
    public void onUpstreamVersions(String sender, List<StreamOrigin> versions) {
      origins.onPeerVersions(sender, versions);
    }
  }

  private final class FleetListener implements FleetFollower.Listener {

    @Override
    public void onUpstreamListed(UpstreamEntry upstream) {
      if (origins.onListed(upstream)) {
        loadExchange.onVersionListed();
      }
    }

    @Override
    public void onConfiguration(ForwardingTable table) {
      budgets.updateAccounts(table.accounts());
      origins.onConfiguration();
    }

    @Override
    public void onUpstreamsRemoved(List<String> ids) {
      loadExchange.onUpstreamsRemoved(ids);
    }

    @Override
    public void onPeers(List<String> addresses) {
      loadExchange.onPeers(addresses);
      crashes.onPeers(addresses);
      holderCopies.onPeers(addresses);
      paths.onPeers(addresses);
      origins.onPeers(addresses);
    }

    @Override
    public void onStoreRestored(List<LeavingUpstream> leaving) {
      leaving.forEach(loadExchange::announceLeaving);
      budgets.onStoreRestored();
    }
  }
}
