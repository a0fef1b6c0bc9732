package org.hibiscusreel.daemon.forward;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.RequestFraming;

/** HTTP server for the readiness checks of the load balancer and for the metrics. */
public final class StatusServer {

  private static final String READY_PATH = "/ready";
  private static final String METRICS_PATH = "/metrics";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;

  private final CallerConnections connections;
  private final HttpServer server;
  private final BooleanSupplier isReady;
  private final Supplier<String> metrics;

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param address address to bind
   * @param limits what the connections may take in total
   * @param isReady tells whether requests are accepted
   * @param metrics supplies the text of the metrics
   * @throws NullPointerException if an argument is null
   */
  public StatusServer(
      NioReactor reactor,
      Scheduler scheduler,
      InetSocketAddress address,
      ConnectionLimits limits,
      BooleanSupplier isReady,
      Supplier<String> metrics) {
    this.isReady = Objects.requireNonNull(isReady, "isReady");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.connections =
        new CallerConnections(scheduler, reactor, limits, RequestFraming::toResponse);
    AsyncServlet servlet = this::serve;
    this.server =
        HttpServer.builder(reactor, servlet)
            .withInspector(connections.serverInspector())
            .withSocketInspector(connections.socketInspector(false))
            .withAcceptFilter((c, local, remote, ssl) -> !connections.admit())
            .withListenAddress(address)
            .build();
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

  /** Returns the number of connections that were closed, or not accepted, because of the limits. */
  long closedByLimits() {
    return connections.closedByLimits();
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    if (hasBody(request)) {
      connections.connectionOf(request).closeAfterDelay();
      return HttpResponse.ofCode(CONTENT_TOO_LARGE).toPromise();
    }
    return switch (request.getPath()) {
      case READY_PATH -> HttpResponse.ofCode(isReady.getAsBoolean() ? OK : UNAVAILABLE).toPromise();
      case METRICS_PATH ->
          HttpResponse.ofCode(OK)
              .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; charset=utf-8")
              .withBody(metrics.get())
              .toPromise();
      default -> HttpResponse.ofCode(NOT_FOUND).toPromise();
    };
  }

  private static boolean hasBody(HttpRequest request) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    return request.getHeader(HttpHeaders.TRANSFER_ENCODING) != null
        || (length != null && !length.strip().equals("0"));
  }
}
