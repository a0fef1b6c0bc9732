package org.hibiscusreel.daemon.forward;

import io.activej.common.MemSize;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.reactor.net.ServerSocketSettings;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.DecisionLog;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.Refusal;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.ConnectionRegister;
import org.hibiscusreel.daemon.http.RequestFraming;
import org.hibiscusreel.daemon.http.TrafficListener;

/** HTTP server for callers whose requests are forwarded. Used only on the event loop. */
public final class ForwardServer {

  /**
   * Idle timeout of connections, longer than any that an operator sets for callers, so that callers
   * close idle connections first.
   */
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofMinutes(2);

  /** Upper bound for closing the server. The process enforces a shorter timeout of its own. */
  private static final Duration STOP_TIMEOUT = Duration.ofHours(1);

  private static final int BACKLOG = 1024;

  /** Largest request body that is read, in bytes; the configuration may set a lower limit. */
  static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  /** Shortest delay of a task in milliseconds that is not due at once. */
  private static final long READ_DELAY_MILLIS = 1;

  /** Retry advice in milliseconds for a request that finds no memory. */
  private static final long MEMORY_RETRY_AFTER_MILLIS = 300;

  private static final Refusal CLOSING =
      new Refusal(Refusal.Kind.NOT_RUN, 0, "the connection is being closed");

  private static final Refusal TOO_MANY_HEADS =
      new Refusal(
          Refusal.Kind.NOT_RUN, MEMORY_RETRY_AFTER_MILLIS, "too many requests are in progress");

  /** A request in progress keeps the buffer in which it was read. */
  private static final SocketSettings SMALL_BUFFERS =
      SocketSettings.builder()
          .withImplReadBufferSize(MemSize.of(ConnectionRegister.READ_BUFFER_BYTES))
          .build();

  private final Scheduler scheduler;
  private final Forwarder forwarder;
  private final CallerDialect dialect;
  private final BooleanSupplier isReady;
  private final DecisionLog decisions;
  private final BodyMemory bodies;
  private final CallerConnections connections;
  private final HttpServer server;
  private boolean stopping;

  /**
   * Creates a server that does not listen yet.
   *
   * @param reactor the event loop
   * @param scheduler time and delayed tasks of the same event loop
   * @param address address to bind
   * @param forwarder forwards the requests
   * @param dialect message format of the callers
   * @param isReady tells whether callers may keep their connections; otherwise responses ask them
   *     to connect again, to another daemon
   * @param limits what the connections may take in total
   * @param traffic receives the number of bytes exchanged with callers
   * @param decisions records the requests that are refused because of their framing or size
   * @param bodies limits the memory of the requests' bodies
   * @throws NullPointerException if an argument is null
   */
  public ForwardServer(
      NioReactor reactor,
      Scheduler scheduler,
      InetSocketAddress address,
      Forwarder forwarder,
      CallerDialect dialect,
      BooleanSupplier isReady,
      ConnectionLimits limits,
      TrafficListener traffic,
      DecisionLog decisions,
      BodyMemory bodies) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.forwarder = Objects.requireNonNull(forwarder, "forwarder");
    this.dialect = Objects.requireNonNull(dialect, "dialect");
    this.isReady = Objects.requireNonNull(isReady, "isReady");
    this.decisions = Objects.requireNonNull(decisions, "decisions");
    this.bodies = Objects.requireNonNull(bodies, "bodies");
    this.connections =
        new CallerConnections(
            scheduler, reactor, limits, traffic, this::pipelinedRefusal, this::refuseFraming);
    AsyncServlet servlet = this::serve;
    this.server =
        HttpServer.builder(reactor, servlet)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            // ActiveJ's default aborts streamed responses three seconds after a stop begins.
            .withReadWriteTimeout(Duration.ZERO, STOP_TIMEOUT)
            .withInspector(connections.serverInspector())
            .withSocketInspector(connections.socketInspector(false))
            .withServerSocketSettings(ServerSocketSettings.create(BACKLOG))
            .withSocketSettings(SMALL_BUFFERS)
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

  /** Sends {@code Connection: close} with responses from now on; requests are still served. */
  public void announceStop() {
    stopping = true;
  }

  /**
   * Stops listening and closes the connections after their responses are sent.
   *
   * @return completes when all connections are closed
   */
  public Promise<?> stop() {
    stopping = true;
    connections.stop();
    return server.close();
  }

  /**
   * Returns the number of open connections.
   *
   * @return 0 or more
   */
  public int connectionCount() {
    return connections.count();
  }

  /**
   * Returns the memory of the heads of all requests in progress.
   *
   * @return bytes, 0 or more
   */
  public long headBytes() {
    return connections.headBytes();
  }

  /**
   * Returns the bytes of all responses that wait until their callers read.
   *
   * @return bytes, 0 or more
   */
  public long unsentBytes() {
    return connections.unsentBytes();
  }

  /**
   * Returns the number of connections that were closed, or not accepted, because of the limits.
   *
   * @return 0 or more
   */
  public long closedByLimits() {
    return connections.closedByLimits();
  }

  /**
   * Returns the number of responses that are being sent. A response may be on its way long after
   * its request was served, since callers read at their own speed.
   *
   * @return 0 or more
   */
  public int respondingCount() {
    return connections.respondingCount();
  }

  private Promise<HttpResponse> serve(HttpRequest request) {
    CallerConnections.TrackedConnection connection = connections.connectionOf(request);
    BodyMemory.Lease memory = bodies.lease(sender(request));
    CallerResponseWriter answer =
        new CallerResponseWriter(
            dialect,
            connection,
            request.getMethod() == HttpMethod.HEAD,
            () -> stopping || !isReady.getAsBoolean(),
            memory::release);
    if (connection.isClosing()) {
      answer.refuse(CLOSING);
      return answer.response();
    }
    if (!connections.hasHeadMemory()) {
      decisions.record("refused_head", Map.of("head_bytes", connections.headBytes()));
      connection.closeAfterDelay();
      answer.refuse(TOO_MANY_HEADS);
      return answer.response();
    }
    return RequestBodyReader.read(request, memory, MAX_BODY_BYTES)
        .then(
            body -> {
              if (body.isEmpty()) {
                connections.closeStalledBodies();
                refuseBody(request, answer);
                return answer.response();
              }
              CallerRequest parsed = read(request, body.get());
              answer.detectDisconnect();
              afterNextRead(() -> forward(parsed, answer));
              return answer.response();
            })
        .whenException(e -> memory.release());
  }

  /** Returns what tells senders apart before their requests are read. */
  private static String sender(HttpRequest request) {
    String key = request.getHeader(HttpHeaders.AUTHORIZATION);
    return key == null ? "" : key;
  }

  private void refuseBody(HttpRequest request, CallerResponseWriter answer) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("path", request.getPath());
    fields.put("used_bytes", bodies.usedBytes());
    decisions.record("refused_body", fields);
    answer.refuse(
        new Refusal(
            Refusal.Kind.NOT_RUN, MEMORY_RETRY_AFTER_MILLIS, "too many bodies are in progress"));
  }

  /**
   * Runs a task after the event loop has read all sockets once more. If the loop was busy, the end
   * of a connection may have arrived together with its request. The first delay may end in the
   * current turn of the loop, the second one begins after it.
   */
  private void afterNextRead(Runnable task) {
    scheduler.schedule(READ_DELAY_MILLIS, () -> scheduler.schedule(READ_DELAY_MILLIS, task));
  }

  private void forward(CallerRequest request, CallerResponseWriter answer) {
    if (!answer.isEnded()) {
      answer.setTask(forwarder.serve(request, answer));
    }
  }

  private byte[] pipelinedRefusal() {
    CallerDialect.RefusalResponse refusal = dialect.write(CLOSING);
    StringBuilder text = new StringBuilder("HTTP/1.1 " + refusal.status() + " Not Served\r\n");
    refusal.fields().forEach(f -> text.append(f.name() + ": " + f.value() + "\r\n"));
    text.append("Content-Length: 0\r\nConnection: close\r\n\r\n");
    return text.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private byte[] refuseFraming(RequestFraming.Fault fault) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("status", fault.status());
    fields.put("reason", fault.reason());
    decisions.record("refused_framing", fields);
    return RequestFraming.toResponse(fault);
  }

  private CallerRequest read(HttpRequest request, byte[] body) {
    String host = request.getHeader(HttpHeaders.HOST);
    return dialect.read(
        new CallerDialect.ReceivedRequest(
            request.getMethod().name(),
            request.getPathAndQuery(),
            request.getPath(),
            host == null ? "" : host,
            HeaderFields.endToEnd(request),
            body));
  }
}
