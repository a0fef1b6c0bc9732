package org.hibiscusreel.daemon.forward;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.hibiscusreel.coordination.forward.DecisionLog;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.config.SocketAddresses;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.ConnectionRegister;
import org.hibiscusreel.daemon.http.TrafficListener;

/**
 * Passes requests of daemons that reach no upstream to upstreams, byte by byte. A relay opens the
 * connections itself and never asks a further relay. Used only on the thread of the event loop.
 */
final class RelayServer {

  /**
   * Settings of the sockets to daemons. Without a linger time, a connection that is closed by this
   * process, or by its death, is reset, so that a part of a response is never taken for all of it.
   */
  private static final SocketSettings RESET_ON_CLOSE =
      SocketSettings.builder()
          .withTcpNoDelay(true)
          .withLingerTimeout(Duration.ZERO)
          .withImplReadBufferSize(RelayedConnection.BUFFER_SIZE)
          .build();

  /**
   * Settings of the sockets to upstreams. An upstream that takes no bytes of a request for so long
   * is given up, since the end of the daemon's connection is not seen meanwhile.
   */
  private static final SocketSettings TO_UPSTREAMS =
      SocketSettings.builder()
          .withTcpNoDelay(true)
          .withImplWriteTimeout(Duration.ofSeconds(15))
          .withImplReadBufferSize(RelayedConnection.BUFFER_SIZE)
          .build();

  /** Receives what responses say of their upstreams. */
  @FunctionalInterface
  interface NoticeListener {

    /**
     * Called with the notice of a response.
     *
     * @param upstream the upstream that sent it
     * @param notice the notice
     * @param sentAtMillis monotonic time in milliseconds at which its request was sent
     */
    void onNotice(UpstreamEntry upstream, UpstreamNotice notice, long sentAtMillis);
  }

  private final NioReactor reactor;
  private final Scheduler scheduler;
  private final Duration connectTimeout;
  private final Function<RelayTicket, RelayAdmission.Decision> admission;
  private final UpstreamPaths paths;
  private final NoticeListener notices;
  private final UpstreamDialect dialect;
  private final TrafficListener traffic;
  private final DecisionLog log;
  private final SimpleServer server;
  private final ConnectionLimits limits;
  private final ConnectionRegister<RelayedConnection> connections;
  private long closedByLimits;
  private boolean stopping;

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param address address to bind
   * @param connectTimeout time to connect to an upstream
   * @param limits what the connections from daemons may take in total; as many again as those on
   *     which a request is passed on may wait for a head, or for the end of a refusal
   * @param admission decides which requests are passed on
   * @param paths learns which connections to upstreams were opened
   * @param notices learns what the passing responses say of their upstreams
   * @param dialect message format of the upstreams
   * @param traffic receives the number of bytes exchanged
   * @param log receives a line for each request that is not passed on and each invalid response
   */
  RelayServer(
      NioReactor reactor,
      Scheduler scheduler,
      InetSocketAddress address,
      Duration connectTimeout,
      ConnectionLimits limits,
      Function<RelayTicket, RelayAdmission.Decision> admission,
      UpstreamPaths paths,
      NoticeListener notices,
      UpstreamDialect dialect,
      TrafficListener traffic,
      DecisionLog log) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.connectTimeout = Objects.requireNonNull(connectTimeout, "connectTimeout");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.connections =
        new ConnectionRegister<>(
            new ConnectionLimits(
                2 * limits.maxConnections(), limits.maxHeadBytes(), limits.headMemoryBytes()));
    this.admission = Objects.requireNonNull(admission, "admission");
    this.paths = Objects.requireNonNull(paths, "paths");
    this.notices = Objects.requireNonNull(notices, "notices");
    this.dialect = Objects.requireNonNull(dialect, "dialect");
    this.traffic = Objects.requireNonNull(traffic, "traffic");
    this.log = Objects.requireNonNull(log, "log");
    this.server =
        SimpleServer.builder(reactor, s -> accept((TcpSocket) s))
            .withListenAddress(address)
            .withSocketSettings(RESET_ON_CLOSE)
            .build();
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be bound
   */
  void start() throws IOException {
    server.listen();
  }

  /** Refuses all further requests; connections that are open go on. */
  void announceStop() {
    stopping = true;
  }

  /** Stops listening and resets all connections. */
  void stop() {
    stopping = true;
    server.close();
    connections.all().forEach(RelayedConnection::reset);
  }

  /** Returns the number of open connections from other daemons. */
  int connectionCount() {
    return connections.count();
  }

  /** Returns the memory in bytes of the heads of all requests in progress. */
  long headBytes() {
    return connections.headBytes();
  }

  /** Returns the number of connections that were closed, or not accepted, because of the limits. */
  long closedByLimits() {
    return closedByLimits;
  }

  int maxHeadBytes() {
    return limits.maxHeadBytes();
  }

  private void accept(TcpSocket socket) {
    if (connections.isFull()) {
      // Too many to read the heads of all of them and to refuse each one.
      closedByLimits++;
      Optional<RelayedConnection> replaceable = connections.takeReplaceable(scheduler.nowMillis());
      if (replaceable.isEmpty()) {
        socket.close();
        return;
      }
      replaceable.get().reset();
    }
    RelayedConnection connection = new RelayedConnection(this, socket);
    connections.add(connection, scheduler.nowMillis());
    connection.start();
  }

  /** Records how much of a head has arrived, and closes connections if all take too much. */
  void onHeadBytes(RelayedConnection connection, int bytes) {
    connections.update(connection, ConnectionRegister.Phase.HEAD, bytes, scheduler.nowMillis());
    for (RelayedConnection c : connections.findExcess()) {
      closedByLimits++;
      c.reset();
    }
  }

  void onHeadRead(RelayedConnection connection) {
    connections.update(connection, ConnectionRegister.Phase.RESPONSE, 0, scheduler.nowMillis());
  }

  RelayAdmission.Decision decide(RelayTicket ticket) {
    RelayAdmission.Decision decision;
    if (stopping) {
      decision = new RelayAdmission.Decision.Refused(RelayRefusal.STOPPING);
    } else if (connections.count(ConnectionRegister.Phase.RESPONSE) > limits.maxConnections()) {
      decision = new RelayAdmission.Decision.Refused(RelayRefusal.BUSY);
    } else {
      decision = admission.apply(ticket);
    }
    if (decision instanceof RelayAdmission.Decision.Refused r) {
      logRefusal(ticket.upstream(), r.reason());
    }
    return decision;
  }

  Promise<TcpSocket> connect(UpstreamEntry upstream) {
    return openConnection(upstream)
        .whenResult(paths::onConnected)
        .whenException(
            e -> {
              paths.onConnectFailed(upstream.id());
              logRefusal(upstream.id(), RelayRefusal.UNREACHABLE);
            });
  }

  /** A valid address may be of a kind that the socket can't connect to. */
  private Promise<TcpSocket> openConnection(UpstreamEntry upstream) {
    try {
      return TcpSocket.connect(
          reactor, SocketAddresses.parse(upstream.address()), connectTimeout, TO_UPSTREAMS);
    } catch (RuntimeException e) {
      return Promise.ofException(e);
    }
  }

  private void logRefusal(String upstream, RelayRefusal reason) {
    log.record("relay_refused", Map.of("upstream", upstream, "reason", reason.toText()));
  }

  /** Applies what the head of a passing response says of its upstream. */
  void onResponseHead(UpstreamEntry upstream, MessageHead head, long sentAtMillis) {
    dialect
        .notice(head.status(), head.fields())
        .ifPresent(n -> notices.onNotice(upstream, n, sentAtMillis));
  }

  void onInvalidResponse(UpstreamEntry upstream, String fault) {
    log.record("relay_reset", Map.of("upstream", upstream.id(), "reason", fault));
  }

  void onClosed(RelayedConnection connection) {
    connections.remove(connection);
  }

  Scheduler scheduler() {
    return scheduler;
  }

  TrafficListener traffic() {
    return traffic;
  }
}
