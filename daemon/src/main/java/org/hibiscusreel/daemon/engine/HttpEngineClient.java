package org.hibiscusreel.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.CacheEvent;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EngineListener;
import org.hibiscusreel.coordination.port.EngineLoad;
import org.hibiscusreel.coordination.port.EngineOrder;
import org.hibiscusreel.coordination.port.EngineRequest;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Client for the HTTP API of model engines. */
public final class HttpEngineClient implements EngineClient {

  private static final HttpHeader STREAM_ID = HttpHeaders.register("X-Stream-Id");
  private static final HttpHeader METADATA = HttpHeaders.register("X-Request-Metadata");
  private static final HttpHeader PRIORITY = HttpHeaders.register("X-Priority");
  private static final Map<HttpHeader, String> JSON =
      Map.of(HttpHeaders.CONTENT_TYPE, "application/json");

  private final AsyncHttpClient calls;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param calls HTTP client
   * @param timeoutMillis time to wait for the complete response to a call, in milliseconds
   * @throws NullPointerException if an argument is null
   */
  public HttpEngineClient(AsyncHttpClient calls, long timeoutMillis) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
    byte[] metadata = Json.write(request.metadata()).getBytes(StandardCharsets.UTF_8);
    Map<HttpHeader, String> headers =
        Map.of(
            HttpHeaders.CONTENT_TYPE,
            "application/json",
            STREAM_ID,
            request.streamId(),
            METADATA,
            Base64.getUrlEncoder().withoutPadding().encodeToString(metadata),
            PRIORITY,
            Integer.toString(request.priority()));
    AsyncHttpClient.Exchange exchange =
        calls.open(HttpMethod.POST, url(upstream, "/v1/chat/completions"), headers, request.body());
    return startStream(exchange, upstream, request.streamId(), listener, false);
  }

  @Override
  public EngineCall resume(
      Upstream upstream, String streamId, long offset, EngineListener listener) {
    String url = url(upstream, "/v1/streams/" + encode(streamId) + "?offset=" + offset);
    AsyncHttpClient.Exchange exchange = calls.open(HttpMethod.GET, url, Map.of(), null);
    return startStream(exchange, upstream, streamId, listener, true);
  }

  private EngineCall startStream(
      AsyncHttpClient.Exchange exchange,
      Upstream upstream,
      String streamId,
      EngineListener listener,
      boolean resumed) {
    EngineStream stream =
        new EngineStream(exchange, listener, resumed, () -> cancelStream(upstream, streamId));
    stream.start();
    return stream;
  }

  private void cancelStream(Upstream upstream, String streamId) {
    // The result is ignored: an engine aborts a stream without a reader even if the cancellation is
    // lost.
    var unused =
        calls.call(
            HttpMethod.DELETE,
            url(upstream, "/v1/streams/" + encode(streamId)),
            Map.of(),
            null,
            timeoutMillis);
  }

  @Override
  public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
    return get(
        upstream,
        "/v1/load",
        n ->
            new EngineLoad(
                JsonBodies.require(n, "running").asInt(),
                JsonBodies.require(n, "queued").asInt(),
                JsonBodies.require(n, "capacity").asInt(),
                JsonBodies.require(n, "leaving").asBoolean(),
                JsonBodies.require(n, "at_millis").asLong()));
  }

  @Override
  public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after) {
    return get(
        upstream,
        "/v1/cache/events?after=" + after,
        body -> {
          List<CacheEvent> events = new ArrayList<>();
          for (JsonNode n : JsonBodies.require(body, "events")) {
            events.add(
                new CacheEvent(
                    JsonBodies.require(n, "seq").asLong(),
                    JsonBodies.require(n, "kind").asText().equals("stored"),
                    JsonBodies.require(n, "prefix_hash").asText()));
          }
          return List.copyOf(events);
        });
  }

  @Override
  public CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after) {
    return get(
        upstream,
        "/v1/usage?server=" + encode(server) + "&after=" + after,
        body -> {
          List<UsageRecord> records = new ArrayList<>();
          for (JsonNode n : JsonBodies.require(body, "records")) {
            records.add(toUsageRecord(n));
          }
          return List.copyOf(records);
        });
  }

  private static UsageRecord toUsageRecord(JsonNode n) throws IOException {
    JsonNode metadata = JsonBodies.require(n, "metadata");
    String text =
        metadata.isTextual()
            ? new String(Base64.getUrlDecoder().decode(metadata.asText()), StandardCharsets.UTF_8)
            : metadata.toString();
    String state = JsonBodies.require(n, "state").asText();
    return new UsageRecord(
        JsonBodies.require(n, "seq").asLong(),
        JsonBodies.require(n, "stream_id").asText(),
        Json.read(text, DispatchMetadata.class),
        JsonBodies.require(n, "prompt_tokens").asLong(),
        JsonBodies.require(n, "completion_tokens").asLong(),
        UsageRecord.State.valueOf(state.toUpperCase(Locale.ROOT)));
  }

  @Override
  public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
    ObjectNode body = JsonBodies.MAPPER.createObjectNode();
    body.put("fencing", order.fencing());
    body.set("models", JsonBodies.MAPPER.valueToTree(order.models()));
    body.set("adapters", JsonBodies.MAPPER.valueToTree(order.adapters()));
    body.put("role", order.role());
    return calls
        .call(
            HttpMethod.PUT, url(upstream, "/v1/state"), JSON, JsonBodies.write(body), timeoutMillis)
        .thenApply(
            r -> {
              if (!(r instanceof HttpResult.Responded a)) {
                return Optional.empty();
              }
              return a.isSuccess()
                  ? Optional.of(true)
                  : a.status() == 409 ? Optional.of(false) : Optional.empty();
            });
  }

  @Override
  public CompletableFuture<Optional<EngineOrder>> state(Upstream upstream) {
    return get(
        upstream,
        "/v1/state",
        n ->
            new EngineOrder(
                JsonBodies.require(n, "fencing").asLong(),
                toStrings(JsonBodies.require(n, "models")),
                toStrings(JsonBodies.require(n, "adapters")),
                JsonBodies.require(n, "role").asText()));
  }

  private static List<String> toStrings(JsonNode array) {
    List<String> list = new ArrayList<>();
    array.forEach(n -> list.add(n.asText()));
    return list;
  }

  /** Parses a JSON body. */
  @FunctionalInterface
  private interface BodyParser<T> {

    T read(JsonNode body) throws IOException;
  }

  private <T> CompletableFuture<Optional<T>> get(
      Upstream upstream, String path, BodyParser<T> reader) {
    return calls
        .call(HttpMethod.GET, url(upstream, path), Map.of(), null, timeoutMillis)
        .thenApply(
            r -> {
              if (!(r instanceof HttpResult.Responded a) || !a.isSuccess()) {
                return Optional.empty();
              }
              try {
                return Optional.of(reader.read(JsonBodies.readObject(a.body())));
              } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
                return Optional.empty();
              }
            });
  }

  private static String url(Upstream upstream, String path) {
    return "http://" + upstream.address() + path;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
