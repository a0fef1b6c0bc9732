package org.hibiscusreel.daemon.caller;

import io.activej.common.MemSize;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import javax.net.ssl.SSLContext;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.RequestService;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.http.ConnectionRegister;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/** HTTP server of the caller API. Used only on the thread of the event loop. */
public final class CallerServer {

  /** Time that an idle connection of a caller is kept open for reuse. */
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofMinutes(2);

  /** Upper bound for closing the server. The process enforces a shorter timeout of its own. */
  private static final Duration STOP_TIMEOUT = Duration.ofHours(1);

  private static final int BACKLOG = 4096;

  /** A request in progress keeps the buffer in which it was read. */
  private static final SocketSettings SMALL_BUFFERS =
      SocketSettings.builder()
          .withImplReadBufferSize(MemSize.of(ConnectionRegister.READ_BUFFER_BYTES))
          .build();

  /** Memory of all bodies that is left for small ones, as a part of the whole. */
  private static final int SMALL_BODY_DIVISOR = 8;

  private final HttpServer server;
  private final CallerConnections connections;
  private final boolean isTls;

  /**
   * TLS of the callers' port.
   *
   * @param context TLS context with certificate and key
   * @param executor runs the expensive steps of handshakes
   */
  public record Tls(SSLContext context, Executor executor) {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param settings address and limits
   * @param tls TLS of the port, or empty for plain HTTP
   * @param requests serves the requests
   * @param configuration current configuration
   * @param metrics records outcomes
   * @throws NullPointerException if an argument is null
   */
  public CallerServer(
      NioReactor reactor,
      Scheduler scheduler,
      DaemonSettings settings,
      Optional<Tls> tls,
      RequestService requests,
      ConfigurationView configuration,
      DaemonMetrics metrics) {
    Objects.requireNonNull(requests, "requests");
    this.connections =
        new CallerConnections(
            scheduler, reactor, settings.limits().toConnectionLimits(), ProblemDocuments::refuse);
    this.isTls = tls.isPresent();
    long bodyMemory = settings.limits().bodyMemoryBytes();
    BodyMemory bodies = new BodyMemory(bodyMemory, bodyMemory, bodyMemory / SMALL_BODY_DIVISOR);
    CallerServlet servlet =
        new CallerServlet(
            requests,
            configuration,
            metrics,
            scheduler,
            connections,
            settings.limits().maxBodyBytes(),
            bodies);
    HttpServer.Builder builder =
        HttpServer.builder(reactor, servlet.toServlet(reactor))
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            // ActiveJ's default aborts streamed responses three seconds after a stop begins.
            .withReadWriteTimeout(Duration.ZERO, STOP_TIMEOUT)
            .withHttpErrorFormatter(servlet::formatException)
            .withInspector(connections.serverInspector())
            .withSocketInspector(connections.socketInspector(false))
            .withSocketSslInspector(connections.socketInspector(true))
            .withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
            .withSocketSettings(SMALL_BUFFERS)
            .withAcceptFilter((c, local, remote, ssl) -> !connections.admit());
    InetSocketAddress address = settings.listen().callers();
    if (tls.isPresent()) {
      builder.withSslListenAddress(tls.get().context(), tls.get().executor(), address);
    } else {
      builder.withListenAddress(address);
    }
    this.server = builder.build();
    metrics.register("connections", connections::count);
    metrics.register("body_bytes", bodies::usedBytes);
    metrics.register("connections_closed_by_limits", connections::closedByLimits);
    metrics.register("head_bytes", connections::headBytes);
    metrics.register("max_connections", settings.limits()::maxConnections);
    metrics.register("max_head_bytes", settings.limits()::maxHeadBytes);
    metrics.register("head_bytes_limit", settings.limits()::headMemoryBytes);
    metrics.register("body_bytes_limit", settings.limits()::bodyMemoryBytes);
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be bound
   */
  public void start() throws IOException {
    server.listen();
    connections.start();
  }

  /**
   * Stops listening and closes the connections after their responses are sent.
   *
   * @return completes when all connections are closed
   */
  public Promise<?> stop() {
    connections.stop();
    return server.close();
  }

  /**
   * Returns the bound port.
   *
   * @return port number
   */
  public int port() {
    return (isTls ? server.getSslBoundAddresses() : server.getBoundAddresses()).get(0).getPort();
  }
}
