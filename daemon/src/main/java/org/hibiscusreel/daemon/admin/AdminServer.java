package org.hibiscusreel.daemon.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.RequestFraming;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** HTTP server for administration and monitoring. Used only on the thread of the event loop. */
public final class AdminServer {

  private static final int MAX_EVENTS = 1000;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final CallerConnections connections;
  private final HttpServer server;
  private final DaemonMetrics metrics;
  private final EventLog events;
  private final BooleanSupplier isReady;
  private final Supplier<JsonNode> status;

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param address address to bind
   * @param limits limits of the connections
   * @param metrics metrics to serve
   * @param events timeline to serve
   * @param isReady tells whether the load balancer may send requests
   * @param status supplies the state of the daemon
   * @throws NullPointerException if an argument is null
   */
  public AdminServer(
      NioReactor reactor,
      Scheduler scheduler,
      InetSocketAddress address,
      ConnectionLimits limits,
      DaemonMetrics metrics,
      EventLog events,
      BooleanSupplier isReady,
      Supplier<JsonNode> status) {
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.events = Objects.requireNonNull(events, "events");
    this.isReady = Objects.requireNonNull(isReady, "isReady");
    this.status = Objects.requireNonNull(status, "status");
    RoutingServlet servlet =
        RoutingServlet.builder(reactor)
            .with(HttpMethod.GET, "/livez", r -> text(200, "live"))
            .with(HttpMethod.GET, "/readyz", r -> readiness())
            .with(HttpMethod.GET, "/metrics", r -> json(this.metrics.toJson()))
            .with(HttpMethod.GET, "/events", this::events)
            .with(HttpMethod.GET, "/status", r -> json(this.status.get()))
            .build();
    this.connections =
        new CallerConnections(scheduler, reactor, limits, RequestFraming::toResponse);
    this.server =
        HttpServer.builder(reactor, servlet)
            .withListenAddress(address)
            .withReadWriteTimeout(TIMEOUT)
            .withKeepAliveTimeout(TIMEOUT)
            .withInspector(connections.serverInspector())
            .withSocketInspector(connections.socketInspector(false))
            .withAcceptFilter((c, local, remote, ssl) -> !connections.admit())
            .build();
    metrics.register("admin_connections", connections::count);
    metrics.register("admin_max_connections", limits::maxConnections);
    metrics.register("admin_max_head_bytes", limits::maxHeadBytes);
    metrics.register("admin_connections_closed_by_limits", connections::closedByLimits);
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
   * Stops listening.
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
    return server.getBoundAddresses().get(0).getPort();
  }

  private Promise<HttpResponse> readiness() {
    return isReady.getAsBoolean() ? text(200, "ready") : text(503, "not ready");
  }

  private Promise<HttpResponse> events(HttpRequest request) {
    String text = request.getQueryParameter("after");
    long after;
    try {
      after = text == null ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return text(400, "after must be a whole number");
    }
    List<EventLog.NumberedEvent> newer = events.after(after, MAX_EVENTS);
    ObjectNode document = JsonBodies.MAPPER.createObjectNode();
    ArrayNode array = document.putArray("events");
    for (EventLog.NumberedEvent e : newer) {
      ObjectNode node = JsonBodies.MAPPER.valueToTree(e.event());
      array.add(node.put("seq", e.seq()));
    }
    document.put("next", newer.isEmpty() ? after : newer.get(newer.size() - 1).seq());
    document.put("dropped", events.dropped());
    return json(document);
  }

  private static Promise<HttpResponse> text(int status, String text) {
    return HttpResponse.ofCode(status).withPlainText(text + "\n").build().toPromise();
  }

  private static Promise<HttpResponse> json(JsonNode node) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(JsonBodies.write(node))
        .build()
        .toPromise();
  }
}
