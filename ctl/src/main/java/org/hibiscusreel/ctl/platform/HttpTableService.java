package org.hibiscusreel.ctl.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** HTTP client for the table service of the platform. */
public final class HttpTableService implements TableService {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpSender sender;
  private final String base;

  /**
   * Creates a client.
   *
   * @param sender sends the requests
   * @param baseUrl base URL of the table service without a trailing slash
   * @throws NullPointerException if an argument is null
   */
  public HttpTableService(HttpSender sender, String baseUrl) {
    this.sender = Objects.requireNonNull(sender, "sender");
    this.base = Objects.requireNonNull(baseUrl, "baseUrl");
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    ObjectNode request = MAPPER.createObjectNode();
    ArrayNode list = request.putArray("mutations");
    mutations.forEach(mutation -> list.add(toJson(mutation)));
    return sender
        .send("POST", uri("transact"), bytes(request))
        .thenApply(HttpTableService::toWriteResult);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    ObjectNode request = MAPPER.createObjectNode();
    ArrayNode list = request.putArray("keys");
    keys.forEach(list::add);
    return sender
        .sendIdempotent("POST", uri("read"), bytes(request))
        .thenApply(HttpTableService::toReadResult);
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    ObjectNode request =
        MAPPER.createObjectNode().put("prefix", prefix).put("after", after).put("limit", limit);
    return sender
        .sendIdempotent("POST", uri("scan"), bytes(request))
        .thenApply(HttpTableService::toReadResult);
  }

  private URI uri(String operation) {
    return URI.create(base + "/v1/table/" + operation);
  }

  private static byte[] bytes(ObjectNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode toJson(Mutation mutation) {
    ObjectNode node = MAPPER.createObjectNode().put("key", mutation.key());
    if (mutation.expect() instanceof Mutation.Expect.Version version) {
      node.put("expect", version.version());
    } else {
      node.put("expect", mutation.expect() instanceof Mutation.Expect.Absent ? "absent" : "any");
    }
    if (mutation.change() instanceof Mutation.Change.Put put) {
      node.put("value", put.value());
    } else if (mutation.change() instanceof Mutation.Change.Delete) {
      node.putNull("value");
    }
    return node;
  }

  private static WriteResult toWriteResult(HttpReply reply) {
    if (reply instanceof HttpReply.NotSent) {
      return new WriteResult.NotApplied(reply.describe());
    }
    if (!(reply instanceof HttpReply.Response response)) {
      return new WriteResult.Unknown(reply.describe());
    }
    if (HttpSender.isThrottled(response.status())) {
      return new WriteResult.NotApplied(reply.describe());
    }
    try {
      if (response.status() == OK) {
        List<Long> versions = new ArrayList<>();
        field(response, "versions").forEach(version -> versions.add(version.asLong()));
        return new WriteResult.Committed(versions);
      }
      if (response.status() == CONFLICT) {
        return new WriteResult.Conflict(rows(field(response, "conflicts")));
      }
    } catch (IOException e) {
      return new WriteResult.Unknown("malformed response: " + e.getMessage());
    }
    return new WriteResult.Unknown(reply.describe());
  }

  private static ReadResult toReadResult(HttpReply reply) {
    if (!(reply instanceof HttpReply.Response response) || response.status() != OK) {
      return new ReadResult.Failed(reply.describe());
    }
    try {
      JsonNode node = JsonBodies.readObject(response.body());
      return new ReadResult.Rows(
          rows(JsonBodies.require(node, "rows")), node.path("more").asBoolean());
    } catch (IOException e) {
      return new ReadResult.Failed("malformed response: " + e.getMessage());
    }
  }

  private static JsonNode field(HttpReply.Response response, String name) throws IOException {
    return JsonBodies.require(JsonBodies.readObject(response.body()), name);
  }

  private static List<Row> rows(JsonNode nodes) {
    List<Row> rows = new ArrayList<>();
    for (JsonNode node : nodes) {
      rows.add(
          new Row(
              node.path("key").asText(),
              node.path("version").asLong(),
              node.path("value").isTextual() ? node.path("value").asText() : ""));
    }
    return rows;
  }
}
