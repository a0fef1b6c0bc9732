package org.hibiscusreel.daemon.main;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.daemon.admin.AdminServer;
import org.hibiscusreel.daemon.admin.EventLog;
import org.hibiscusreel.daemon.caller.CallerServer;
import org.hibiscusreel.daemon.caller.CallerTls;
import org.hibiscusreel.daemon.engine.HttpEngineClient;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.peer.GrpcPeerServer;
import org.hibiscusreel.daemon.peer.GrpcPeerTransport;
import org.hibiscusreel.daemon.peer.PeerCredentials;
import org.hibiscusreel.daemon.platform.HttpHostList;
import org.hibiscusreel.daemon.platform.HttpObjectStore;
import org.hibiscusreel.daemon.platform.HttpPlainServiceClient;
import org.hibiscusreel.daemon.platform.HttpTableService;
import org.hibiscusreel.daemon.platform.JsonBodies;
import org.hibiscusreel.daemon.settings.AddressParser;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/** Daemon that runs all services of the process on one event loop. */
public final class Daemon {

  /**
   * Timeout of calls to the platform, in milliseconds; the outcome of a call that takes longer is
   * unknown.
   */
  static final long PLATFORM_TIMEOUT_MILLIS = 2000;

  /**
   * Timeout of load reports and commands of engines, in milliseconds; the outcome of a call that
   * takes longer is unknown.
   */
  static final long ENGINE_TIMEOUT_MILLIS = 2000;

  /**
   * Time to write the last responses and events after all requests have finished, in milliseconds.
   */
  private static final long CLOSE_TIMEOUT_MILLIS = 3000;

  private static final int TLS_THREADS = 2;
  private static final Logger LOG = System.getLogger(Daemon.class.getName());

  private final DaemonSettings settings;
  private final String incarnation;
  private final EventLoopScheduler scheduler;
  private final GrpcPeerServer peerServer;
  private final GrpcPeerTransport peers;
  private final EventLog events;
  private final NodeHandle node;
  private final CallerServer callers;
  private final AdminServer admin;
  private final ExecutorService tlsThreads;
  private CompletableFuture<Void> stopping;

  private Daemon(
      DaemonSettings settings, String incarnation, NodeHandle.Factory factory, Eventloop loop)
      throws IOException, GeneralSecurityException {
    this.settings = settings;
    this.incarnation = incarnation;
    this.scheduler = new EventLoopScheduler(loop);
    PeerCredentials credentials = PeerCredentials.of(settings.peerTls());
    this.peerServer = new GrpcPeerServer(settings.listen().peers(), credentials, loop);
    // Bound first, because this process must not do anything while an earlier one on this host is
    // alive.
    this.peerServer.start();
    this.peers = new GrpcPeerTransport(credentials, loop);
    final DaemonMetrics metrics = new DaemonMetrics();
    AsyncHttpClient calls = new AsyncHttpClient(loop);
    HttpObjectStore objects =
        new HttpObjectStore(calls, settings.platform().objects(), PLATFORM_TIMEOUT_MILLIS);
    this.events = new EventLog(scheduler, objects, incarnation);
    SecureRandom random = new SecureRandom();
    this.node =
        factory.create(
            toNodeSettings(),
            new NodeDependencies(
                scheduler,
                new HttpTableService(
                    calls,
                    settings.platform().table(),
                    PLATFORM_TIMEOUT_MILLIS,
                    metrics::countTableCall),
                objects,
                new HttpHostList(calls, settings.platform().hosts(), PLATFORM_TIMEOUT_MILLIS),
                peers,
                new HttpEngineClient(calls, ENGINE_TIMEOUT_MILLIS),
                new HttpPlainServiceClient(calls),
                events,
                random::nextLong));
    metrics.register("in_progress", () -> node.requests().inProgress());
    metrics.register("bills_buffered", node::billsBuffered);
    metrics.register("events_dropped", events::dropped);
    this.tlsThreads = Executors.newFixedThreadPool(TLS_THREADS);
    this.callers =
        new CallerServer(
            loop, scheduler, settings, callerTls(), node.requests(), node.configuration(), metrics);
    this.admin =
        new AdminServer(
            loop,
            scheduler,
            settings.listen().admin(),
            settings.limits().toAdminLimits(),
            metrics,
            events,
            this::isReady,
            this::status);
  }

  /**
   * Starts a daemon. Must be called on the thread of the event loop.
   *
   * @param settings settings of the daemon
   * @param incarnation identifier of this run of the daemon
   * @param factory creates the coordination services
   * @param loop the event loop
   * @return the running daemon
   * @throws IOException if an address can't be bound or a certificate can't be read
   * @throws GeneralSecurityException if a certificate can't be used
   */
  public static Daemon start(
      DaemonSettings settings, String incarnation, NodeHandle.Factory factory, Eventloop loop)
      throws IOException, GeneralSecurityException {
    Objects.requireNonNull(settings, "settings");
    Objects.requireNonNull(incarnation, "incarnation");
    Daemon daemon = new Daemon(settings, incarnation, factory, loop);
    daemon.admin.start();
    daemon.callers.start();
    daemon.peerServer.serve(daemon.node.peerHandler());
    daemon.events.start();
    var unused =
        daemon
            .node
            .start()
            .whenComplete(
                (v, e) -> {
                  if (e != null) {
                    LOG.log(Level.ERROR, "the coordination services failed to start", e);
                  }
                });
    LOG.log(Level.INFO, "started {0} with callers at port {1}", incarnation, daemon.callers.port());
    return daemon;
  }

  /**
   * Stops gracefully: reports not ready, refuses new requests, finishes those in progress and lets
   * the coordination services return the tokens that they hold. The peer port stays bound until the
   * process exits. Must be called on the thread of the event loop.
   *
   * @return completes when the process can exit; the same for each call
   */
  public CompletableFuture<Void> stop() {
    if (stopping == null) {
      LOG.log(Level.INFO, "stopping with {0} requests in progress", node.requests().inProgress());
      stopping = new CompletableFuture<>();
      node.requests().stopAccepting();
      var unused = node.stop().whenComplete((v, e) -> onNodeStopped(e));
    }
    return stopping;
  }

  private void onNodeStopped(Throwable error) {
    if (error != null) {
      LOG.log(Level.ERROR, "the coordination services failed to stop", error);
    }
    Promise<?> closed = callers.stop();
    CompletableFuture<Void> flushed = events.stop();
    var timer = scheduler.schedule(CLOSE_TIMEOUT_MILLIS, this::completeStop);
    var unused =
        closed
            .toCompletableFuture()
            .thenCompose(v -> flushed)
            .whenComplete(
                (v, e) -> {
                  timer.cancel();
                  completeStop();
                });
  }

  private void completeStop() {
    if (stopping.isDone()) {
      return;
    }
    peers.stop();
    tlsThreads.shutdown();
    var unused = admin.stop();
    LOG.log(Level.INFO, "stopped {0}", incarnation);
    stopping.complete(null);
  }

  /** Releases the peer port. For tests that run several daemons in one process. */
  void releasePeerPort() {
    peerServer.stop();
  }

  /**
   * Returns the port of the caller API.
   *
   * @return port number
   */
  public int callerPort() {
    return callers.port();
  }

  /**
   * Returns the port of the administrative service.
   *
   * @return port number
   */
  public int adminPort() {
    return admin.port();
  }

  /**
   * Returns the port of the peer service.
   *
   * @return port number
   */
  public int peerPort() {
    return peerServer.port();
  }

  private boolean isReady() {
    return stopping == null && node.isReady();
  }

  private ObjectNode status() {
    ObjectNode document = JsonBodies.MAPPER.createObjectNode();
    document.put("incarnation", incarnation);
    document.put("host", settings.host().name());
    document.put("failure_domain", settings.host().failureDomain());
    document.put("site", settings.host().site());
    document.put("ready", isReady());
    document.put("stopping", stopping != null);
    document.set("node", JsonBodies.MAPPER.valueToTree(node.status()));
    return document;
  }

  private NodeSettings toNodeSettings() {
    DaemonSettings.Host h = settings.host();
    InetSocketAddress peerAddress =
        new InetSocketAddress(settings.listen().peers().getAddress(), peerServer.port());
    return new NodeSettings(
        new MemberInfo(
            incarnation,
            h.name(),
            h.failureDomain(),
            h.site(),
            AddressParser.format(peerAddress),
            AddressParser.format(settings.listen().admin())),
        Incarnations.readBootId(),
        settings.peers().seeds().stream().map(AddressParser::format).toList(),
        settings.limits().maxBufferedBills(),
        settings.limits().drainTimeoutMs());
  }

  private Optional<CallerServer.Tls> callerTls() throws IOException, GeneralSecurityException {
    if (settings.callerTls().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new CallerServer.Tls(CallerTls.createContext(settings.callerTls().get()), tlsThreads));
  }
}
