package org.hibiscusreel.daemon.http;

import io.activej.bytebuf.ByteBufs;
import io.activej.common.MemSize;
import io.activej.csp.supplier.ChannelSupplier;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * HTTP client for complete calls with a timeout and for streamed responses. Futures complete on the
 * event loop and never exceptionally. Used only on the thread of the event loop.
 *
 * <p>Each call has its own connection. Most servers don't identify the call that a response belongs
 * to, so on a kept connection a response that is sent twice would be taken for that of the next
 * call. Also, the outcome of a call is unknown if the server closes an idle connection at the
 * moment of its reuse.
 */
public final class AsyncHttpClient {

  /** Default timeout for opening a connection. */
  public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private static final MemSize MAX_RESPONSE_SIZE = MemSize.megabytes(16);

  /**
   * What a caller expects of a response.
   *
   * @param fields header fields to return
   * @param maxBodyBytes largest body that is read, in bytes
   */
  public record ResponseTerms(List<HttpHeader> fields, long maxBodyBytes) {

    /** No header fields, and a body of any size that the client reads. */
    public static final ResponseTerms DEFAULT = withFields(List.of());

    /** Copies the list. */
    public ResponseTerms {
      fields = List.copyOf(fields);
    }

    /**
     * Returns the terms of a body of any size that the client reads.
     *
     * @param fields header fields to return
     * @return terms
     */
    public static ResponseTerms withFields(List<HttpHeader> fields) {
      return new ResponseTerms(fields, MAX_RESPONSE_SIZE.toLong());
    }
  }

  private final NioReactor reactor;
  private final HttpClient client;
  private final ConnectionTracker tracker;

  /**
   * Creates a client.
   *
   * @param reactor the event loop
   * @throws NullPointerException if the event loop is null
   */
  public AsyncHttpClient(NioReactor reactor) {
    this(reactor, CONNECT_TIMEOUT);
  }

  /**
   * Creates a client with its own connect timeout.
   *
   * @param reactor the event loop
   * @param connectTimeout timeout for opening a connection
   * @throws NullPointerException if an argument is null
   */
  public AsyncHttpClient(NioReactor reactor, Duration connectTimeout) {
    this(reactor, connectTimeout, TrafficListener.NONE);
  }

  /**
   * Creates a client whose traffic is counted.
   *
   * @param reactor the event loop
   * @param connectTimeout timeout for opening a connection
   * @param traffic receives the number of bytes sent and received
   * @throws NullPointerException if an argument is null
   */
  public AsyncHttpClient(NioReactor reactor, Duration connectTimeout, TrafficListener traffic) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    this.tracker = new ConnectionTracker(Objects.requireNonNull(traffic, "traffic"));
    this.client =
        HttpClient.builder(reactor, newDnsClient(reactor))
            .withConnectTimeout(connectTimeout)
            .withMaxBodySize(MAX_RESPONSE_SIZE)
            // ActiveJ measures this timeout from the start of the request, also for streams.
            .withReadWriteTimeout(Duration.ZERO)
            // ActiveJ 6.0-rc2 confuses the two inspectors of a client, so both are set.
            .withSocketInspector(tracker.socketInspector())
            .withSocketSslInspector(tracker.socketInspector())
            .withInspector(tracker.clientInspector())
            .withNoKeepAlive()
            .build();
  }

  /**
   * Calls a server and waits for the complete response.
   *
   * @param method HTTP method
   * @param url URL with an IP address as its host
   * @param headers headers to send
   * @param body body to send, or null for none
   * @param timeoutMillis time to wait for the complete response, in milliseconds
   * @return the outcome; cancelling it closes the connection that was opened for the call
   */
  public CompletableFuture<HttpResult> call(
      HttpMethod method,
      String url,
      Map<HttpHeader, String> headers,
      byte[] body,
      long timeoutMillis) {
    return call(method, url, headers, body, timeoutMillis, ResponseTerms.DEFAULT);
  }

  /**
   * Calls a server and waits for the complete response, within terms of the caller.
   *
   * @param method HTTP method
   * @param url URL with an IP address as its host
   * @param headers headers to send
   * @param content body to send, or null for none
   * @param timeoutMillis time to wait for the complete response, in milliseconds
   * @param terms what is expected of the response
   * @return the outcome; cancelling it closes the connection that was opened for the call
   */
  public CompletableFuture<HttpResult> call(
      HttpMethod method,
      String url,
      Map<HttpHeader, String> headers,
      byte[] content,
      long timeoutMillis,
      ResponseTerms terms) {
    Exchange exchange = open(method, url, headers, content);
    CompletableFuture<HttpResult> future = new CompletableFuture<>();
    ScheduledRunnable timer =
        reactor.delayBackground(
            Math.max(1, timeoutMillis),
            () -> {
              String reason =
                  exchange.response().isResult()
                      ? "the answer was incomplete after " + timeoutMillis + " ms"
                      : "no answer within " + timeoutMillis + " ms";
              exchange.abort();
              future.complete(exchange.toFailure(reason));
            });
    exchange
        .response()
        .then(r -> load(exchange, r, terms).map(body -> toResult(r, terms.fields(), body)))
        .whenResult(future::complete)
        .whenException(
            e -> {
              exchange.abort();
              future.complete(
                  e instanceof BodyTooLargeException
                      ? new HttpResult.TooLarge(terms.maxBodyBytes())
                      : exchange.toFailure(String.valueOf(e)));
            });
    var unused =
        future.whenComplete(
            (r, e) -> {
              if (timer.isActive()) {
                timer.cancel();
              }
              if (future.isCancelled()) {
                exchange.abort();
              }
            });
    return future;
  }

  /** Reads a body, and ends the reading once it is too large. */
  private static Promise<byte[]> load(
      Exchange exchange, HttpResponse response, ResponseTerms terms) {
    if (exchange.endsWithHead()) {
      response.takeBodyStream().close();
      exchange.abort();
      return Promise.of(new byte[0]);
    }
    return ChannelSupplier.collect(
        response.takeBodyStream(),
        new ByteBufs(),
        (found, next) -> {
          found.add(next);
          if (found.remainingBytes() > terms.maxBodyBytes()) {
            found.recycle();
            throw new BodyTooLargeException();
          }
        },
        found -> found.takeRemaining().asArray());
  }

  /** Ends the reading of a body. */
  private static final class BodyTooLargeException extends Exception {

    private static final long serialVersionUID = 1L;
  }

  /**
   * Sends a request whose response is read as a stream. The body of the response must be taken or
   * closed.
   *
   * @param method HTTP method
   * @param url URL with an IP address as its host
   * @param headers headers to send
   * @param body body to send, or null for none
   * @return the request and its response
   */
  public Exchange open(
      HttpMethod method, String url, Map<HttpHeader, String> headers, byte[] body) {
    return open(method, url, List.copyOf(headers.entrySet()), body);
  }

  /**
   * Sends a request whose header fields may repeat and whose response is read as a stream.
   *
   * @param method HTTP method
   * @param url URL with an IP address as its host
   * @param headers headers to send, in order
   * @param body body to send, or null for none
   * @return the request and its response
   */
  public Exchange open(
      HttpMethod method, String url, List<Map.Entry<HttpHeader, String>> headers, byte[] body) {
    HttpRequest.Builder builder = HttpRequest.builder(method, url);
    headers.forEach(h -> builder.withHeader(h.getKey(), h.getValue()));
    if (body != null && BodyPieces.isLarge(body.length)) {
      builder.withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
      builder.withBodyStream(BodyPieces.of(body));
    } else if (body != null) {
      builder.withBody(body);
    }
    HttpRequest request = builder.build();
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

    /**
     * Sets an action for when the connection is open. It must be set before the event loop goes on.
     *
     * @param action called once at most
     */
    public void onConnected(Runnable action) {
      state.onConnected(action);
    }

    /**
     * Tells whether the response ends with its head, whatever length its fields state. ActiveJ
     * takes the bytes after such a head for a body.
     *
     * @return false until the response has arrived
     */
    public boolean endsWithHead() {
      return state.endsWithHead();
    }

    /** Closes the connection of this request. */
    public void abort() {
      state.abort();
    }

    /**
     * Closes the connection if the response has much more bytes than its body. The reader of the
     * body must report its bytes to {@link #onBodyBytes}.
     */
    public void limitFraming() {
      state.limitFraming();
    }

    /**
     * Counts bytes of the body that were read.
     *
     * @param count number of bytes
     */
    public void onBodyBytes(int count) {
      state.onBodyBytes(count);
    }

    /**
     * Classifies a failure of this request.
     *
     * @param reason what happened
     * @return {@code NotSent} if no connection was opened, otherwise {@code Lost}
     */
    public HttpResult toFailure(String reason) {
      return state.isConnected() ? new HttpResult.Lost(reason) : new HttpResult.NotSent(reason);
    }
  }

  private static HttpResult toResult(
      HttpResponse response, List<HttpHeader> responseFields, byte[] body) {
    String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
    Map<HttpHeader, String> fields = new HashMap<>();
    for (HttpHeader f : responseFields) {
      String value = response.getHeader(f);
      if (value != null) {
        fields.put(f, value);
      }
    }
    return new HttpResult.Responded(
        response.getCode(), type == null ? "" : type, retryAfterMillis(response), fields, body);
  }

  /**
   * Returns the value of {@code Retry-After}.
   *
   * @param response a response
   * @return milliseconds, 0 if the header is absent or a date
   */
  public static long retryAfterMillis(HttpResponse response) {
    String value = response.getHeader(HttpHeaders.RETRY_AFTER);
    try {
      return value == null ? 0 : Duration.ofSeconds(Integer.parseInt(value.strip())).toMillis();
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static DnsClient newDnsClient(NioReactor reactor) {
    // All hosts are IP addresses, so the name server is never queried.
    return DnsClient.builder(reactor, new InetSocketAddress(InetAddress.getLoopbackAddress(), 53))
        .build();
  }
}
