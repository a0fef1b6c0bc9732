package org.hibiscusreel.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/** Client for the platform's table service over HTTP. */
public final class HttpTableService implements TableService {

  private static final Map<HttpHeader, String> HEADERS =
      Map.of(HttpHeaders.CONTENT_TYPE, "application/json");

  private final AsyncHttpClient calls;
  private final String baseUrl;
  private final long timeoutMillis;
  private final Consumer<String> onCall;

  /**
   * Creates a client.
   *
   * @param calls HTTP client
   * @param baseUrl base URL without a trailing slash
   * @param timeoutMillis time to wait for a response, in milliseconds
   * @param onCall receives the name of the operation and its outcome for each call
   * @throws NullPointerException if an argument is null
   */
  public HttpTableService(
      AsyncHttpClient calls, String baseUrl, long timeoutMillis, Consumer<String> onCall) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.baseUrl = Objects.requireNonNull(baseUrl, "baseUrl") + "/v1/table/";
    this.timeoutMillis = timeoutMillis;
    this.onCall = Objects.requireNonNull(onCall, "onCall");
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    ObjectNode body = JsonBodies.MAPPER.createObjectNode();
    ArrayNode array = body.putArray("mutations");
    mutations.forEach(m -> array.add(toJson(m)));
    return post("transact", body)
        .thenApply(
            r -> {
              WriteResult w = toWriteResult(r);
              onCall.accept("transact." + w.getClass().getSimpleName());
              return w;
            });
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    ObjectNode body = JsonBodies.MAPPER.createObjectNode();
    ArrayNode array = body.putArray("keys");
    keys.forEach(array::add);
    return readRows("read", body);
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    ObjectNode body = JsonBodies.MAPPER.createObjectNode();
    body.put("prefix", prefix).put("after", after).put("limit", limit);
    return readRows("scan", body);
  }

  private CompletableFuture<ReadResult> readRows(String operation, ObjectNode body) {
    return post(operation, body)
        .thenApply(
            r -> {
              ReadResult result = toReadResult(r);
              onCall.accept(operation + "." + result.getClass().getSimpleName());
              return result;
            });
  }

  private CompletableFuture<HttpResult> post(String operation, ObjectNode body) {
    return calls.call(
        HttpMethod.POST, baseUrl + operation, HEADERS, JsonBodies.write(body), timeoutMillis);
  }

  private static ObjectNode toJson(Mutation m) {
    ObjectNode n = JsonBodies.MAPPER.createObjectNode();
    n.put("key", m.key());
    if (m.expect() instanceof Mutation.Expect.Version v) {
      n.put("expect", v.version());
    } else if (m.expect() instanceof Mutation.Expect.Absent) {
      n.put("expect", "absent");
    } else {
      n.put("expect", "any");
    }
    if (m.change() instanceof Mutation.Change.Put p) {
      n.put("value", p.value());
    } else if (m.change() instanceof Mutation.Change.Delete) {
      n.putNull("value");
    }
    return n;
  }

  private static WriteResult toWriteResult(HttpResult result) {
    if (result instanceof HttpResult.NotSent n) {
      return new WriteResult.NotApplied(n.reason());
    }
    if (!(result instanceof HttpResult.Responded r)) {
      return new WriteResult.Unknown(result.toString());
    }
    try {
      return switch (r.status()) {
        case 200 -> toCommitted(JsonBodies.readObject(r.body()));
        case 409 ->
            new WriteResult.Conflict(
                toRows(JsonBodies.require(JsonBodies.readObject(r.body()), "conflicts")));
        case 429, 503 -> new WriteResult.NotApplied("status " + r.status());
        default -> new WriteResult.Unknown("status " + r.status());
      };
    } catch (IOException e) {
      return new WriteResult.Unknown("status " + r.status() + " with a malformed body: " + e);
    }
  }

  private static WriteResult toCommitted(JsonNode body) throws IOException {
    List<Long> versions = new ArrayList<>();
    for (JsonNode v : JsonBodies.require(body, "versions")) {
      versions.add(v.asLong());
    }
    return new WriteResult.Committed(versions);
  }

  private static ReadResult toReadResult(HttpResult result) {
    if (!(result instanceof HttpResult.Responded r)) {
      return new ReadResult.Failed(result.toString());
    }
    if (!r.isSuccess()) {
      return new ReadResult.Failed("status " + r.status());
    }
    try {
      JsonNode body = JsonBodies.readObject(r.body());
      return new ReadResult.Rows(
          toRows(JsonBodies.require(body, "rows")), body.path("more").asBoolean(false));
    } catch (IOException e) {
      return new ReadResult.Failed("malformed body: " + e);
    }
  }

  private static List<Row> toRows(JsonNode array) throws IOException {
    List<Row> rows = new ArrayList<>();
    for (JsonNode n : array) {
      String value = n.hasNonNull("value") ? n.get("value").asText() : "";
      rows.add(
          new Row(
              JsonBodies.require(n, "key").asText(),
              JsonBodies.require(n, "version").asLong(),
              value));
    }
    return List.copyOf(rows);
  }
}
