package org.hibiscusreel.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/** Client for the platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {

  private static final Map<HttpHeader, String> HEADERS =
      Map.of(HttpHeaders.CONTENT_TYPE, "application/octet-stream");
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final AsyncHttpClient calls;
  private final String baseUrl;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param calls HTTP client
   * @param baseUrl base URL without a trailing slash
   * @param timeoutMillis time to wait for a response, in milliseconds
   * @throws NullPointerException if an argument is null
   */
  public HttpObjectStore(AsyncHttpClient calls, String baseUrl, long timeoutMillis) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.baseUrl = Objects.requireNonNull(baseUrl, "baseUrl") + "/v1/objects";
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Boolean> put(String key, byte[] body) {
    return calls
        .call(HttpMethod.PUT, toUrl(key), HEADERS, body, timeoutMillis)
        .thenApply(r -> r instanceof HttpResult.Responded a && a.isSuccess());
  }

  @Override
  public CompletableFuture<GetResult> get(String key) {
    return calls
        .call(HttpMethod.GET, toUrl(key), Map.of(), null, timeoutMillis)
        .thenApply(HttpObjectStore::toGetResult);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return calls
        .call(HttpMethod.GET, baseUrl + "?prefix=" + encode(prefix), Map.of(), null, timeoutMillis)
        .thenApply(HttpObjectStore::toListResult);
  }

  private static GetResult toGetResult(HttpResult result) {
    if (!(result instanceof HttpResult.Responded r)) {
      return new GetResult.Failed(result.toString());
    }
    return switch (r.status()) {
      case OK -> new GetResult.Found(r.body());
      case NOT_FOUND -> new GetResult.Missing();
      default -> new GetResult.Failed("status " + r.status());
    };
  }

  private static ListResult toListResult(HttpResult result) {
    if (!(result instanceof HttpResult.Responded r)) {
      return new ListResult.Failed(result.toString());
    }
    if (!r.isSuccess()) {
      return new ListResult.Failed("status " + r.status());
    }
    try {
      List<String> keys = new ArrayList<>();
      for (JsonNode n : JsonBodies.require(JsonBodies.readObject(r.body()), "keys")) {
        keys.add(n.asText());
      }
      return new ListResult.Keys(keys);
    } catch (IOException e) {
      return new ListResult.Failed("malformed body: " + e);
    }
  }

  private String toUrl(String key) {
    StringBuilder url = new StringBuilder(baseUrl);
    for (String part : key.split("/", -1)) {
      url.append('/').append(encode(part));
    }
    return url.toString();
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
