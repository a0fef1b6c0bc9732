package org.hibiscusreel.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * In-memory implementation of the platform's HTTP protocol on the loopback interface. Faults can be
 * injected into the next writes.
 */
final class FakePlatform implements AutoCloseable {

  /** Faults of a write. */
  enum Fault {
    /** The write takes effect, but the connection is closed before the response. */
    RESPONSE_LOST,
    /** The write is refused with status 503. */
    THROTTLED
  }

  /** A stored row with its version. */
  record StoredRow(long version, String value) {}

  final ConcurrentSkipListMap<String, StoredRow> rows = new ConcurrentSkipListMap<>();
  final ConcurrentSkipListMap<String, byte[]> objects = new ConcurrentSkipListMap<>();
  final ConcurrentLinkedQueue<Fault> faults = new ConcurrentLinkedQueue<>();
  volatile Runnable beforeNextWrite = () -> {};
  volatile String events = "{\"events\":[],\"next\":0}";
  volatile String hosts = "{\"hosts\":[],\"upstreams\":[]}";
  private final ObjectMapper mapper = new ObjectMapper();
  // Several threads are needed, because beforeNextWrite may call the platform during a write.
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpServer server;

  FakePlatform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/v1/table/", this::handleTable);
    server.createContext("/v1/objects", this::objects);
    server.createContext("/v1/hosts", exchange -> respond(exchange, 200, bytes(hosts)));
    server.createContext("/events", this::events);
    server.setExecutor(executor);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  String url() {
    return "http://" + address();
  }

  void put(String key, String value) {
    rows.merge(
        key, new StoredRow(1, value), (old, added) -> new StoredRow(old.version() + 1, value));
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }

  private void handleTable(HttpExchange exchange) throws IOException {
    JsonNode request = mapper.readTree(exchange.getRequestBody());
    switch (exchange.getRequestURI().getPath()) {
      case "/v1/table/transact" -> transact(exchange, request);
      case "/v1/table/read" -> {
        ObjectNode reply = mapper.createObjectNode();
        ArrayNode found = reply.putArray("rows");
        request.path("keys").forEach(key -> add(found, key.asText(), rows.get(key.asText())));
        respond(exchange, 200, bytes(reply.toString()));
      }
      default -> scan(exchange, request);
    }
  }

  private void scan(HttpExchange exchange, JsonNode request) throws IOException {
    ObjectNode reply = mapper.createObjectNode();
    ArrayNode found = reply.putArray("rows");
    String prefix = request.path("prefix").asText();
    String after = request.path("after").asText();
    boolean more = false;
    for (Map.Entry<String, StoredRow> entry : withPrefix(rows, prefix).entrySet()) {
      if (entry.getKey().compareTo(after) > 0) {
        if (found.size() == 2) {
          more = true;
          break;
        }
        add(found, entry.getKey(), entry.getValue());
      }
    }
    reply.put("more", more);
    respond(exchange, 200, bytes(reply.toString()));
  }

  private void transact(HttpExchange exchange, JsonNode request) throws IOException {
    Runnable before = beforeNextWrite;
    beforeNextWrite = () -> {};
    before.run();
    Fault fault = faults.poll();
    if (fault == Fault.THROTTLED) {
      respond(exchange, 503, new byte[0]);
      return;
    }
    ObjectNode reply = mapper.createObjectNode();
    ArrayNode conflicts = reply.putArray("conflicts");
    for (JsonNode mutation : request.path("mutations")) {
      StoredRow row = rows.getOrDefault(mutation.path("key").asText(), new StoredRow(0, ""));
      JsonNode expect = mutation.path("expect");
      boolean isVersionExpected =
          expect.isNumber()
              ? expect.asLong() == row.version()
              : expect.asText().equals("any") || row.version() == 0;
      if (!isVersionExpected) {
        add(conflicts, mutation.path("key").asText(), row);
      }
    }
    if (conflicts.isEmpty()) {
      ArrayNode versions = reply.putArray("versions");
      for (JsonNode mutation : request.path("mutations")) {
        put(mutation.path("key").asText(), mutation.path("value").asText());
        versions.add(rows.get(mutation.path("key").asText()).version());
      }
    }
    if (fault == Fault.RESPONSE_LOST) {
      exchange.close();
      return;
    }
    respond(exchange, conflicts.isEmpty() ? 200 : 409, bytes(reply.toString()));
  }

  private void objects(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/v1/objects")) {
      String prefix = exchange.getRequestURI().getQuery().substring("prefix=".length());
      ObjectNode reply = mapper.createObjectNode();
      ArrayNode keys = reply.putArray("keys");
      withPrefix(objects, prefix).keySet().forEach(keys::add);
      respond(exchange, 200, bytes(reply.toString()));
      return;
    }
    String key = path.substring("/v1/objects/".length());
    if (exchange.getRequestMethod().equals("PUT")) {
      objects.put(key, exchange.getRequestBody().readAllBytes());
      respond(exchange, 200, new byte[0]);
    } else {
      byte[] body = objects.get(key);
      respond(exchange, body == null ? 404 : 200, body == null ? new byte[0] : body);
    }
  }

  private void events(HttpExchange exchange) throws IOException {
    boolean first = exchange.getRequestURI().getQuery().equals("after=0");
    respond(exchange, 200, bytes(first ? events : "{\"events\":[],\"next\":0}"));
  }

  private static <V> NavigableMap<String, V> withPrefix(
      ConcurrentSkipListMap<String, V> map, String prefix) {
    return map.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
  }

  private static void add(ArrayNode found, String key, StoredRow row) {
    if (row != null) {
      found.addObject().put("key", key).put("version", row.version()).put("value", row.value());
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) {
    try (exchange) {
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      exchange.getResponseBody().write(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
