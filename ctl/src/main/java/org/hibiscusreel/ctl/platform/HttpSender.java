package org.hibiscusreel.ctl.platform;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Sends HTTP requests and distinguishes requests without effect from those with an unknown outcome.
 */
public final class HttpSender {

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int READ_ATTEMPTS = 4;
  private static final long READ_RETRY_DELAY_MILLIS = 250;

  private final EventLoop loop;
  private final Duration timeout;
  private final HttpClient client;

  /**
   * Creates a sender.
   *
   * @param loop event loop on which the futures are completed
   * @param timeoutMillis timeout of a request in milliseconds, positive
   * @throws NullPointerException if the loop is null
   * @throws IllegalArgumentException if the timeout is not positive
   */
  public HttpSender(EventLoop loop, long timeoutMillis) {
    if (timeoutMillis <= 0) {
      throw new IllegalArgumentException("timeoutMillis must be positive but was " + timeoutMillis);
    }
    this.loop = Objects.requireNonNull(loop, "loop");
    this.timeout = Duration.ofMillis(timeoutMillis);
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  /**
   * Sends a request without retries.
   *
   * @param method HTTP method
   * @param uri target URI
   * @param body body of the request, may be empty
   * @return the outcome
   */
  public CompletableFuture<HttpReply> send(String method, URI uri, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(timeout)
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handleAsync(HttpSender::toReply, loop);
  }

  /**
   * Sends a request without side effects, and retries it if it was throttled or lost.
   *
   * @param method HTTP method
   * @param uri target URI
   * @param body body of the request, may be empty
   * @return the outcome of the last attempt
   */
  public CompletableFuture<HttpReply> sendIdempotent(String method, URI uri, byte[] body) {
    return sendIdempotent(method, uri, body, 1);
  }

  private CompletableFuture<HttpReply> sendIdempotent(
      String method, URI uri, byte[] body, int attempt) {
    return send(method, uri, body)
        .thenCompose(
            reply -> {
              if (attempt >= READ_ATTEMPTS || !isTransient(reply)) {
                return CompletableFuture.completedFuture(reply);
              }
              CompletableFuture<HttpReply> retried = new CompletableFuture<>();
              loop.schedule(
                  READ_RETRY_DELAY_MILLIS,
                  () -> {
                    var unused =
                        sendIdempotent(method, uri, body, attempt + 1)
                            .thenAccept(retried::complete);
                  });
              return retried;
            });
  }

  private static boolean isTransient(HttpReply reply) {
    if (reply instanceof HttpReply.Response response) {
      return isThrottled(response.status());
    }
    return reply instanceof HttpReply.Lost;
  }

  /** Returns whether a status means that the request had no effect and may be retried. */
  static boolean isThrottled(int status) {
    return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
  }

  private static HttpReply toReply(HttpResponse<byte[]> response, Throwable failure) {
    if (response != null) {
      return ResponseHeads.fault(response.statusCode(), response.headers())
          .<HttpReply>map(f -> new HttpReply.Lost("invalid response: " + f))
          .orElseGet(() -> new HttpReply.Response(response.statusCode(), response.body()));
    }
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    String reason =
        cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
      return new HttpReply.NotSent("no connection: " + reason);
    }
    return new HttpReply.Lost("no response: " + reason);
  }
}
