import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store: rows, transactions and feeds, linearizable and in memory. Each
 * daemon gets an address of its own, so that the store can turn single daemons away.
 */
final class Store implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE_ROWS = 500;

  private record Row(String table, String part, String key, String value, long version) {}

  private record Change(Row row, boolean deleted) {}

  /** Address of the store for one daemon. */
  final class Door {

    private final HttpServer server;

    /** Whether calls get 503, which states that nothing was done. */
    volatile boolean busy;

    private Door() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
      server.setExecutor(
          Executors.newCachedThreadPool(
              r -> {
                Thread t = new Thread(r, "store");
                t.setDaemon(true);
                return t;
              }));
      server.createContext("/", x -> handle(this, x));
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }
  }

  private final List<Door> doors = new ArrayList<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private long version = 100;

  Door newDoor() throws IOException {
    Door d = new Door();
    doors.add(d);
    return d;
  }

  private long nowMillis() {
    return 50_000 + (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static String id(String table, String part, String key) {
    return table + "\u0000" + part + "\u0000" + key;
  }

  /** Writes a row as the operator or an engine does. */
  synchronized void put(String table, String key, String value) {
    version++;
    store(
        new Row(
            table,
            "",
            key,
            Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
            version));
    notifyAll();
  }

  private void store(Row r) {
    rows.put(id(r.table(), r.part(), r.key()), r);
    history.add(new Change(r, false));
  }

  private void handle(Door door, HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    if (door.busy) {
      answer(x, 503, null);
      return;
    }
    switch (x.getRequestURI().getPath()) {
      case "/rows-tx" -> transact(x, JSON.readTree(body));
      case "/rows-get" -> get(x, query(x));
      case "/rows-feed" -> feed(door, x, query(x));
      default -> answer(x, 404, null);
    }
  }

  private static Map<String, String> query(HttpExchange x) {
    Map<String, String> result = new HashMap<>();
    for (String pair : x.getRequestURI().getRawQuery().split("&", -1)) {
      int equals = pair.indexOf('=');
      result.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return result;
  }

  private static String id(JsonNode n) {
    return id(n.get("table").asText(), n.path("part").asText(""), n.get("key").asText());
  }

  private void transact(HttpExchange x, JsonNode call) throws IOException {
    ObjectNode result = JSON.createObjectNode();
    int status = 200;
    synchronized (this) {
      ArrayNode current = JSON.createArrayNode();
      for (JsonNode e : call.path("expected")) {
        Row r = rows.get(id(e));
        if (r != null) {
          current.add(toJson(r));
        }
        if ((r == null ? 0 : r.version()) != e.get("ver").asLong()) {
          status = 412;
        }
      }
      if (status == 200) {
        version++;
        for (JsonNode p : call.path("puts")) {
          store(
              new Row(
                  p.get("table").asText(),
                  p.path("part").asText(""),
                  p.get("key").asText(),
                  p.get("value").asText(),
                  version));
        }
        for (JsonNode p : call.path("remove")) {
          Row r = rows.remove(id(p));
          if (r != null) {
            history.add(
                new Change(new Row(r.table(), r.part(), r.key(), r.value(), version), true));
          }
        }
        notifyAll();
      } else {
        result.set("rows", current);
      }
      result.put("ver", version).put("now_ms", nowMillis());
    }
    answer(x, status, result);
  }

  private static ObjectNode toJson(Row r) {
    return JSON.createObjectNode()
        .put("table", r.table())
        .put("part", r.part())
        .put("key", r.key())
        .put("value", r.value())
        .put("ver", r.version());
  }

  private void get(HttpExchange x, Map<String, String> q) throws IOException {
    ObjectNode result = JSON.createObjectNode();
    int limit = Math.min(PAGE_ROWS, Integer.parseInt(q.getOrDefault("limit", "500")));
    synchronized (this) {
      ArrayNode found = result.putArray("rows");
      boolean more = false;
      for (Row r : rows.values()) {
        boolean matches =
            r.table().equals(q.get("table"))
                && r.part().equals(q.getOrDefault("part", ""))
                && r.key().compareTo(q.getOrDefault("from", "")) >= 0
                && (!q.containsKey("to") || r.key().compareTo(q.get("to")) < 0);
        if (matches && found.size() == limit) {
          more = true;
        } else if (matches) {
          found.add(toJson(r));
        }
      }
      result.put("has_more", more).put("ver", version).put("now_ms", nowMillis());
    }
    answer(x, 200, result);
  }

  private void feed(Door door, HttpExchange x, Map<String, String> q) throws IOException {
    long after = Long.parseLong(q.get("after_rev"));
    long until = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
    ObjectNode result = JSON.createObjectNode();
    synchronized (this) {
      ArrayNode found = result.putArray("rows");
      while (true) {
        for (Change c : history) {
          if (c.row().table().equals(q.get("table")) && c.row().version() > after) {
            ObjectNode n = toJson(c.row());
            if (c.deleted()) {
              n.remove("value");
              n.put("deleted", true);
            }
            found.add(n);
          }
        }
        long left = (until - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || left <= 0 || door.busy) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          break;
        }
      }
      result.put("ver", version).put("now_ms", nowMillis());
    }
    if (door.busy) {
      answer(x, 503, null);
    } else {
      answer(x, 200, result);
    }
  }

  private static void answer(HttpExchange x, int status, JsonNode body) throws IOException {
    byte[] bytes = body == null ? new byte[0] : JSON.writeValueAsBytes(body);
    x.getResponseHeaders().add("Content-Type", "application/json");
    x.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    x.getResponseBody().write(bytes);
    x.close();
  }

  /** Turns a daemon away, or serves it again. */
  synchronized void setBusy(Door door, boolean busy) {
    door.busy = busy;
    notifyAll();
  }

  @Override
  public void close() {
    doors.forEach(d -> d.server.stop(0));
  }
}
