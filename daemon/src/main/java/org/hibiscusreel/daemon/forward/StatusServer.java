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

/** HTTP server for the readiness checks of the load balancer and for the metrics. */
public final class StatusServer {

  private static final String READY_PATH = "/ready";
  private static final String METRICS_PATH = "/metrics";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final HttpServer server;
  private final BooleanSupplier isReady;
  private final Supplier<String> metrics;

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param address address to bind
   * @param isReady tells whether requests are accepted
   * @param metrics supplies the text of the metrics
   * @throws NullPointerException if an argument is null
   */
  public StatusServer(
      NioReactor reactor,
      InetSocketAddress address,
      BooleanSupplier isReady,
      Supplier<String> metrics) {
    this.isReady = Objects.requireNonNull(isReady, "isReady");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    AsyncServlet servlet = this::serve;
    this.server = HttpServer.builder(reactor, servlet).withListenAddress(address).build();
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address can't be bound
   */
  public void start() throws IOException {
    server.listen();
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
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
}
