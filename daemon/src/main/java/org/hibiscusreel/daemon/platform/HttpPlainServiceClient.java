package org.hibiscusreel.daemon.platform;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/** Client for plain services over HTTP. */
public final class HttpPlainServiceClient implements PlainServiceClient {
  private static final int TOO_MANY_REQUESTS = 429;

  private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.register("Idempotency-Key");

  private final AsyncHttpClient calls;

  /**
   * Creates a client.
   *
   * @param calls HTTP client
   * @throws NullPointerException if the argument is null
   */
  public HttpPlainServiceClient(AsyncHttpClient calls) {
    this.calls = Objects.requireNonNull(calls, "calls");
  }

  @Override
  public CompletableFuture<Result> call(Upstream upstream, Call call) {
    Map<HttpHeader, String> headers = new HashMap<>();
    headers.put(IDEMPOTENCY_KEY, call.idempotencyKey());
    if (!call.contentType().isEmpty()) {
      headers.put(HttpHeaders.CONTENT_TYPE, call.contentType());
    }
    String url = "http://" + upstream.address() + "/" + call.method();
    return calls
        .call(HttpMethod.POST, url, headers, call.body(), call.timeoutMillis())
        .thenApply(HttpPlainServiceClient::toResult);
  }

  private static Result toResult(HttpResult result) {
    if (result instanceof HttpResult.NotSent n) {
      return new Result.NotSent(n.reason());
    }
    if (result instanceof HttpResult.Responded r) {
      // Only 429 proves that the call did not run; a service may respond with 503 after it ran the
      // call.
      return r.status() == TOO_MANY_REQUESTS
          ? new Result.NotSent("the service refused with status " + r.status())
          : new Result.Responded(r.status(), r.contentType(), r.body());
    }
    return new Result.Unknown(result.toString());
  }
}
