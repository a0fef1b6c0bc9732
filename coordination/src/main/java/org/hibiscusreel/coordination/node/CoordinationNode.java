package org.hibiscusreel.coordination.node;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.membership.MembershipService;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.order.OrderService;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.DefaultRequestService;
import org.hibiscusreel.coordination.request.RequestDependencies;
import org.hibiscusreel.coordination.request.RequestService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.membership.MemberStatus;
import org.hibiscusreel.core.routing.LocalityPolicy;
import org.hibiscusreel.core.timeline.HybridClock;

/** Runs all coordination services of one daemon on one event loop. */
public final class CoordinationNode {
  private static final long DRAIN_POLL_MILLIS = 20;

  private final NodeSettings settings;
  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final MembershipService membership;
  private final NodeServices services;
  private final DefaultRequestService requests;
  private final OrderService orders;
  private final PeerHandler peerHandler;
  private CompletableFuture<Void> stopping;
  private boolean started;

  /**
   * Creates a node.
   *
   * @param settings settings of the daemon
   * @param ports ports to the environment
   */
  public CoordinationNode(NodeSettings settings, NodeDependencies ports) {
    this(settings, ports, NodeDecorators.none());
  }

  /**
   * Creates a node with some services wrapped or replaced.
   *
   * @param settings settings of the daemon
   * @param ports ports to the environment
   * @param decorators wrap the services
   */
  public CoordinationNode(
      NodeSettings settings, NodeDependencies ports, NodeDecorators decorators) {
    this(settings, ports, (s, p, r, m) -> new PlatformServices(s, p, r, m, decorators));
  }

  /** Creates a node with services from a factory. */
  CoordinationNode(NodeSettings settings, NodeDependencies ports, NodeServices.Factory factory) {
    this.settings = settings;
    this.scheduler = ports.scheduler();
    HybridClock clock = new HybridClock(scheduler::wallMillis);
    this.recorder = new EventRecorder(clock, settings.self().incarnation(), ports.events());
    this.membership = new MembershipService(settings, ports, recorder);
    this.services = factory.create(settings, ports, recorder, membership);
    this.requests =
        new DefaultRequestService(
            new RequestDependencies(
                ports,
                recorder,
                services.configuration(),
                membership,
                services.budgets(),
                services.billing(),
                services.claims(),
                new LocalityPolicy(),
                membership::onLoadReport,
                services.outcomeListener()));
    this.orders = new OrderService(ports, membership, services.configuration(), recorder);
    this.peerHandler = new NodePeerHandler(membership, services, requests);
  }

  /**
   * Starts the services. A second call has no effect.
   *
   * @return a future that completes when the services are started; {@link #isReady} returns whether
   *     requests are accepted
   */
  public CompletableFuture<Void> start() {
    if (!started) {
      started = true;
      recorder.record("node_started", settings.self().host());
      membership.setConfigurationVersion(services::configurationVersion);
      membership.addVersionListener(services.versionListener());
      services.configuration().addListener(membership::onConfiguration);
      membership.start();
      services.start();
      requests.start();
      orders.start();
    }
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Stops gracefully: refuses new requests, announces that this daemon is leaving, waits for
   * requests in progress up to the drain timeout, writes buffered data, returns the allotments,
   * marks the incarnation closed and stops probing.
   *
   * @return a future that completes when the process can exit; the same for each call
   */
  public CompletableFuture<Void> stop() {
    if (stopping == null) {
      recorder.record("node_stopping", requests.inProgress() + " requests in progress");
      requests.stopAccepting();
      orders.stop();
      membership.leave();
      stopping =
          awaitRequests()
              .thenCompose(done -> services.flush())
              .thenCompose(done -> services.returnAllotments())
              .thenCompose(done -> services.close())
              .thenRun(this::finishStop);
    }
    return stopping;
  }

  private CompletableFuture<Void> awaitRequests() {
    CompletableFuture<Void> future = new CompletableFuture<>();
    pollUntilDrained(scheduler.nowMillis() + settings.drainTimeoutMillis(), future);
    return future;
  }

  private void pollUntilDrained(long deadlineMillis, CompletableFuture<Void> future) {
    if (requests.inProgress() == 0 || scheduler.nowMillis() >= deadlineMillis) {
      recorder.record("node_drained", requests.inProgress() + " requests in progress");
      future.complete(null);
    } else {
      scheduler.schedule(DRAIN_POLL_MILLIS, () -> pollUntilDrained(deadlineMillis, future));
    }
  }

  private void finishStop() {
    requests.stop();
    membership.stop();
    recorder.record("node_stopped", "");
  }

  /**
   * Returns the service that handles requests of callers.
   *
   * @return the service
   */
  public RequestService requests() {
    return requests;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the view
   */
  public ConfigurationView configuration() {
    return services.configuration();
  }

  /**
   * Returns the view of the members.
   *
   * @return the view
   */
  public MembershipView membership() {
    return membership;
  }

  /**
   * Returns the handler for calls of other daemons.
   *
   * @return the handler
   */
  public PeerHandler peerHandler() {
    return peerHandler;
  }

  /**
   * Returns whether requests are accepted.
   *
   * @return false before the node is registered in the platform and a configuration is in force,
   *     and once the node is stopping
   */
  public boolean isReady() {
    return started
        && stopping == null
        && services.isRegistered()
        && services.configuration().current().isPresent();
  }

  /**
   * Returns the current status for metrics.
   *
   * @return the status
   */
  public NodeStatus status() {
    return new NodeStatus(
        requests.inProgress(),
        requests.unresolvedCalls(),
        services.configurationVersion(),
        membership.alive().size(),
        membership.count(MemberStatus.SUSPECT),
        services.billsBuffered(),
        services.tokensHeld(),
        isReady());
  }
}
