package org.hibiscusreel.daemon.caller;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.net.ServerSocketSettings;
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
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/** HTTP server of the caller API. Used only on the thread of the event loop. */
public final class CallerServer {

  /** An idle connection of a caller is kept for reuse this long. */
  private static final Duration KEEP_ALIVE = Duration.ofMinutes(2);

  /** Bounds a stop; the process that stops has its own, shorter time for it. */
  private static final Duration STOP_TIMEOUT = Duration.ofHours(1);

  private static final int BACKLOG = 4096;

  private final HttpServer server;
  private final CallerConnections connections;
  private final boolean isTls;

  /**
   * TLS of the callers' port.
   *
   * @param context certificate and key
   * @param executor runs the long steps of handshakes
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
   * @param configuration configuration in force
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
    this.connections = new CallerConnections(scheduler, reactor);
    this.isTls = tls.isPresent();
    CallerServlet servlet =
        new CallerServlet(
            requests,
            configuration,
            metrics,
            scheduler,
            connections,
            settings.limits().maxBodyBytes());
    int maxConnections = settings.limits().maxConnections();
    HttpServer.Builder b =
        HttpServer.builder(reactor, servlet.toServlet(reactor))
            .withKeepAliveTimeout(KEEP_ALIVE)
            // The default ends streamed answers three seconds after a stop begins.
            .withReadWriteTimeout(Duration.ZERO, STOP_TIMEOUT)
            .withHttpErrorFormatter(servlet::formatException)
            .withInspector(connections.serverInspector())
            .withSocketInspector(connections.socketInspector(false))
            .withSocketSslInspector(connections.socketInspector(true))
            .withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
            .withAcceptFilter((c, local, remote, ssl) -> connections.count() >= maxConnections);
    InetSocketAddress address = settings.listen().callers();
    if (tls.isPresent()) {
      b.withSslListenAddress(tls.get().context(), tls.get().executor(), address);
    } else {
      b.withListenAddress(address);
    }
    this.server = b.build();
    metrics.register("connections", connections::count);
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
   * Stops listening and closes the connections after their answers are sent.
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
