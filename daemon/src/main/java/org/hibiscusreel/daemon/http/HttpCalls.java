package org.hibiscusreel.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.dns.DnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Whole HTTP calls with a timeout. Futures complete on the event loop and never exceptionally. Used
 * only on the thread of the event loop.
 */
public final class HttpCalls {

  /** Longest time to open a connection. */
  public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Connections are reused only for a short time. A server that closes an idle connection at the
   * moment when it is reused turns a call into an unknown outcome.
   */
  private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);

  /**
   * Bounds calls over reused connections, which a caller can't close one by one. Streams run over
   * connections of their own without such a bound, since ActiveJ counts it from the request.
   */
  private static final Duration SHARED_TIMEOUT = Duration.ofSeconds(30);

  private static final MemSize MAX_ANSWER = MemSize.megabytes(16);

  private final NioReactor reactor;
  private final HttpClient client;
  private final ConnectionTracker tracker = new ConnectionTracker();

  /**
   * Creates a client.
   *
   * @param reactor the event loop
   * @param reuseConnections whether connections are kept for further calls
   * @throws NullPointerException if the event loop is null
   */
  public HttpCalls(NioReactor reactor, boolean reuseConnections) {
    this(reactor, reuseConnections, CONNECT_TIMEOUT);
  }

  /**
   * Creates a client with its own connect timeout.
   *
   * @param reactor the event loop
   * @param reuseConnections whether connections are kept for further calls
   * @param connectTimeout longest time to open a connection
   * @throws NullPointerException if an argument is null
   */
  public HttpCalls(NioReactor reactor, boolean reuseConnections, Duration connectTimeout) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    HttpClient.Builder b =
        HttpClient.builder(reactor, newDnsClient(reactor))
            .withConnectTimeout(connectTimeout)
            .withMaxBodySize(MAX_ANSWER)
            .withReadWriteTimeout(reuseConnections ? SHARED_TIMEOUT : Duration.ZERO)
            // ActiveJ 6.0-rc2 confuses the two inspectors of a client, so both are set.
            .withSocketInspector(tracker.socketInspector())
            .withSocketSslInspector(tracker.socketInspector())
            .withInspector(tracker.clientInspector());
    this.client =
        (reuseConnections ? b.withKeepAliveTimeout(KEEP_ALIVE) : b.withNoKeepAlive()).build();
  }

  /**
   * Calls a server and waits for the whole answer.
   *
   * @param method HTTP method
   * @param url URL with an IP number as its host
   * @param headers headers to send
   * @param body body to send, or null for none
   * @param timeoutMillis time to wait for the whole answer, in milliseconds
   * @return the outcome
   */
  public CompletableFuture<HttpResult> call(
      HttpMethod method,
      String url,
      Map<HttpHeader, String> headers,
      byte[] body,
      long timeoutMillis) {
    Exchange exchange = open(method, url, headers, body);
    CompletableFuture<HttpResult> future = new CompletableFuture<>();
    ScheduledRunnable timer =
        reactor.delayBackground(
            Math.max(1, timeoutMillis),
            () -> {
              exchange.abort();
              future.complete(exchange.toFailure("no answer within " + timeoutMillis + " ms"));
            });
    exchange
        .response()
        .then(r -> r.loadBody(MAX_ANSWER).map(buf -> toResult(r, buf.getArray())))
        .whenResult(future::complete)
        .whenException(e -> future.complete(exchange.toFailure(String.valueOf(e))));
    return future.whenComplete(
        (r, e) -> {
          if (timer.isActive()) {
            timer.cancel();
          }
        });
  }

  /**
   * Sends a request whose answer is read as a stream. The body of the response must be taken or
   * closed.
   *
   * @param method HTTP method
   * @param url URL with an IP number as its host
   * @param headers headers to send
   * @param body body to send, or null for none
   * @return the request and its response
   */
  public Exchange open(
      HttpMethod method, String url, Map<HttpHeader, String> headers, byte[] body) {
    return open(method, url, List.copyOf(headers.entrySet()), body);
  }

  /**
   * Sends a request whose header fields may repeat and whose answer is read as a stream.
   *
   * @param method HTTP method
   * @param url URL with an IP number as its host
   * @param headers headers to send, in order
   * @param body body to send, or null for none
   * @return the request and its response
   */
  public Exchange open(
      HttpMethod method, String url, List<Map.Entry<HttpHeader, String>> headers, byte[] body) {
    HttpRequest.Builder b = HttpRequest.builder(method, url);
    headers.forEach(h -> b.withHeader(h.getKey(), h.getValue()));
    if (body != null) {
      b.withBody(ByteBuf.wrapForReading(body));
    }
    HttpRequest request = b.build();
    ConnectionTracker.State state = tracker.track(request);
    return new Exchange(state, client.request(request));
  }

  /** A request in progress. */
  public static final class Exchange {

    private final ConnectionTracker.State state;
    private final Promise<HttpResponse> response;

    private Exchange(ConnectionTracker.State state, Promise<HttpResponse> response) {
      this.state = state;
      this.response = response;
    }

    /**
     * Returns the response.
     *
     * @return completes when the headers of the response arrived
     */
    public Promise<HttpResponse> response() {
      return response;
    }

    /** Closes the connection, unless it is shared with later calls. */
    public void abort() {
      state.abort();
    }

    /**
     * Tells what a failure means.
     *
     * @param reason what happened
     * @return {@code NotSent} if no connection was opened, otherwise {@code Lost}
     */
    public HttpResult toFailure(String reason) {
      return state.isConnected() ? new HttpResult.Lost(reason) : new HttpResult.NotSent(reason);
    }
  }

  private static HttpResult toResult(HttpResponse r, byte[] body) {
    String type = r.getHeader(HttpHeaders.CONTENT_TYPE);
    return new HttpResult.Responded(
        r.getCode(), type == null ? "" : type, retryAfterMillis(r), body);
  }

  /**
   * Returns the value of {@code Retry-After}.
   *
   * @param response a response
   * @return milliseconds, 0 if the header is absent or a date
   */
  public static long retryAfterMillis(HttpResponse response) {
    String v = response.getHeader(HttpHeaders.RETRY_AFTER);
    try {
      return v == null ? 0 : Duration.ofSeconds(Integer.parseInt(v.strip())).toMillis();
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static DnsClient newDnsClient(NioReactor reactor) {
    // All addresses are IP numbers, so that the name server is never asked.
    return DnsClient.builder(reactor, new InetSocketAddress(InetAddress.getLoopbackAddress(), 53))
        .build();
  }
}
