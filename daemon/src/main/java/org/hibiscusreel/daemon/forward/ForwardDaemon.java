package org.hibiscusreel.daemon.forward;

import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.hibiscusreel.coordination.forward.FleetFollower;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.LoadExchange;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.daemon.http.HttpCalls;

/** One daemon that forwards requests. Used only on the thread of the event loop. */
public final class ForwardDaemon {

  /**
   * The balancer asks once a second and takes a daemon out after two misses; new connections may
   * come until then.
   */
  static final long LISTEN_ON_MILLIS = 2_500;

  /** Time kept at the end of the grace period to give back tokens and to exit, in milliseconds. */
  static final long EXIT_MILLIS = 1_200;

  /** An upstream in the same region answers within a few milliseconds unless it is gone. */
  static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private static final long POLL_MILLIS = 50;

  /**
   * Settings of the daemon.
   *
   * @param host name of the host
   * @param incarnation this run of the daemon
   * @param callers where callers are served
   * @param status where readiness and metrics are served
   * @param metrics further address for the metrics
   * @param peers where load reports of other daemons are received
   * @param graceMillis time from the request to stop until the process is killed
   * @param storeWritesPerSecond writes that the store takes from all daemons together
   * @param forward settings of the forwarding
   */
  public record Settings(
      String host,
      String incarnation,
      InetSocketAddress callers,
      InetSocketAddress status,
      InetSocketAddress metrics,
      InetSocketAddress peers,
      long graceMillis,
      double storeWritesPerSecond,
      ForwardSettings forward) {}

  /**
   * What connects the daemon to its surroundings.
   *
   * @param table the store's tables
   * @param feed changes of the store's tables
   * @param clock time of the store
   * @param rows names and formats of the rows that others write
   * @param callerDialect how callers spell requests
   * @param upstreamDialect how upstreams read requests
   */
  public record Ports(
      TableService table,
      ChangeFeed feed,
      StoreClock clock,
      FleetFollower.Rows rows,
      CallerDialect callerDialect,
      UpstreamDialect upstreamDialect) {}

  private final Settings settings;
  private final Scheduler scheduler;
  private final JsonDecisionLog log;
  private final FleetFollower fleet;
  private final PrepaidBudgets budgets;
  private final UdpLoadTransport loadTransport;
  private final LoadExchange loads;
  private final Forwarder forwarder;
  private final ForwardServer server;
  private final StatusServer status;
  private final StatusServer metrics;
  private final DecisionMetrics decisions;
  private CompletableFuture<Void> stopping;

  /**
   * Creates a daemon that does nothing yet.
   *
   * @param settings settings
   * @param ports what connects it to its surroundings
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param log receives the decisions
   * @throws NullPointerException if an argument is null
   */
  public ForwardDaemon(
      Settings settings,
      Ports ports,
      NioReactor reactor,
      Scheduler scheduler,
      JsonDecisionLog log) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.log = Objects.requireNonNull(log, "log");
    this.decisions = new DecisionMetrics(log);
    this.fleet =
        new FleetFollower(
            ports.feed(),
            ports.table(),
            scheduler,
            settings.host(),
            new FleetFollower.HostRow(settings.incarnation(), toText(settings.peers())),
            ports.rows(),
            decisions,
            new News());
    this.budgets =
        new PrepaidBudgets(
            ports.table(),
            scheduler,
            ports.clock(),
            new PrepaidBudgets.Identity(settings.host(), settings.incarnation()),
            settings.storeWritesPerSecond(),
            fleet::daemons,
            decisions);
    this.loadTransport = new UdpLoadTransport(reactor, settings.peers());
    this.loads = new LoadExchange(scheduler, loadTransport, settings.incarnation());
    this.forwarder =
        new Forwarder(
            scheduler,
            fleet,
            new HttpUpstreamTransport(
                new HttpCalls(reactor, false, CONNECT_TIMEOUT), ports.upstreamDialect()),
            budgets,
            loads,
            settings.forward(),
            decisions,
            ThreadLocalRandom.current()::nextLong);
    this.server =
        new ForwardServer(reactor, scheduler, settings.callers(), forwarder, ports.callerDialect());
    this.status = new StatusServer(reactor, settings.status(), this::isReady, decisions::toText);
    this.metrics = new StatusServer(reactor, settings.metrics(), this::isReady, decisions::toText);
    decisions.register("requests.in_progress", forwarder::inProgress);
    decisions.register("requests.served", forwarder::served);
    decisions.register("requests.refused", forwarder::refused);
    decisions.register("callers.connections", server::connectionCount);
    decisions.register("upstreams.age_ms", fleet::newsAgeMillis);
    decisions.register("peers.reporting", loads::reporting);
    decisions.register("log.dropped", log::dropped);
  }

  private static String toText(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Starts to serve.
   *
   * @throws IOException if an address can't be bound
   */
  public void start() throws IOException {
    log.start();
    decisions.record(
        "start",
        Map.of("host", settings.host(), "failure_domain", settings.forward().failureDomain()));
    status.start();
    metrics.start();
    server.start();
    loadTransport.start();
    loads.start();
    fleet.start();
    budgets.start();
  }

  /** Notes that the settings file changed; all of its values are read at the start only. */
  public void onSettingsChanged() {
    decisions.record("reload", Map.of("outcome", "unchanged until the next start"));
  }

  private boolean isReady() {
    return stopping == null && fleet.isReady();
  }

  /**
   * Finishes the requests in progress and stops.
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
    long exitAt = scheduler.nowMillis() + settings.graceMillis() - EXIT_MILLIS;
    scheduler.schedule(LISTEN_ON_MILLIS, () -> finish(exitAt));
    return stopping;
  }

  private void finish(long exitAt) {
    server.stop();
    awaitRequests(exitAt);
  }

  private void awaitRequests(long exitAt) {
    if (forwarder.inProgress() > 0 && scheduler.nowMillis() < exitAt) {
      scheduler.schedule(POLL_MILLIS, () -> awaitRequests(exitAt));
      return;
    }
    fleet.stop();
    loads.stop();
    loadTransport.stop();
    decisions.record("stopped", Map.of("unfinished", forwarder.inProgress()));
    var unused = budgets.stop().thenAccept(v -> end());
  }

  private void end() {
    log.stop();
    stopping.complete(null);
  }

  private final class News implements FleetFollower.Listener {

    @Override
    public void onConfiguration(ForwardingTable table) {
      budgets.onAccounts(table.accounts());
    }

    @Override
    public void onUpstreamsGone(List<String> ids) {
      loads.onUpstreamsGone(ids);
    }

    @Override
    public void onPeers(List<String> addresses) {
      loads.onPeers(addresses);
    }
  }
}
