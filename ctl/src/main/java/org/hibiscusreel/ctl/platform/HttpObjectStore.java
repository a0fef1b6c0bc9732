package org.hibiscusreel.ctl.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** HTTP client for the object store of the platform. */
public final class HttpObjectStore implements ObjectStore {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final HttpSender sender;
  private final String base;

  /**
   * Creates a client.
   *
   * @param sender sends the requests
   * @param baseUrl base URL of the object store without a trailing slash
   * @throws NullPointerException if an argument is null
   */
  public HttpObjectStore(HttpSender sender, String baseUrl) {
    this.sender = Objects.requireNonNull(sender, "sender");
    this.base = Objects.requireNonNull(baseUrl, "baseUrl");
  }

  @Override
  public CompletableFuture<Boolean> put(String key, byte[] body) {
    return sender
        .send("PUT", uri(key), body)
        .thenApply(
            reply -> reply instanceof HttpReply.Response response && response.status() / 100 == 2);
  }

  @Override
  public CompletableFuture<GetResult> get(String key) {
    return sender
        .sendIdempotent("GET", uri(key), EMPTY_BODY)
        .thenApply(
            reply -> {
              if (reply instanceof HttpReply.Response response && response.status() == OK) {
                return new GetResult.Found(response.body());
              }
              if (reply instanceof HttpReply.Response response && response.status() == NOT_FOUND) {
                return new GetResult.Missing();
              }
              return new GetResult.Failed(reply.describe());
            });
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    URI uri =
        URI.create(
            base + "/v1/objects?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8));
    return sender.sendIdempotent("GET", uri, EMPTY_BODY).thenApply(HttpObjectStore::toListResult);
  }

  private URI uri(String key) {
    String path =
        URLEncoder.encode(key, StandardCharsets.UTF_8).replace("%2F", "/").replace("+", "%20");
    return URI.create(base + "/v1/objects/" + path);
  }

  private static ListResult toListResult(HttpReply reply) {
    if (!(reply instanceof HttpReply.Response response) || response.status() != OK) {
      return new ListResult.Failed(reply.describe());
    }
    try {
      JsonNode root = MAPPER.readTree(response.text());
      List<String> keys = new ArrayList<>();
      for (JsonNode node : root.isArray() ? root : JsonBodies.require(root, "keys")) {
        keys.add(node.isTextual() ? node.asText() : node.path("key").asText());
      }
      return new ListResult.Keys(keys);
    } catch (IOException e) {
      return new ListResult.Failed("malformed response: " + e.getMessage());
    }
  }
}
