package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store. Each daemon reaches it at an address of its own, so that it
 * can treat them differently.
 */
final class Store implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();

  /** What happens to a transaction. */
  enum Fate {
    /** It is performed and answered. */
    DONE,
    /** It is not answered, and performed after a delay if its condition still holds. */
    LATE,
    /** It is neither performed nor answered. */
    LOST
  }

  /** Decides on a transaction of a daemon. */
  interface Judge {
    Fate judge(int daemon, JsonNode transaction);
  }

  private record Key(String table, String part, String key) {}

  private record Row(Key key, String value, long ver, boolean deleted) {}

  private final Map<Key, Row> rows = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final long startNanos = System.nanoTime() - 50_000_000_000L;
  private final List<Http> fronts = new ArrayList<>();
  private final Map<Integer, Boolean> silent = new HashMap<>();
  private final Record record;
  volatile Judge judge = (d, t) -> Fate.DONE;
  volatile long lateMillis = 5_000;
  private long version = 10;

  Store(Record record) {
    this.record = record;
  }

  /** Opens the address of another daemon and returns it. */
  String open() throws IOException {
    int daemon = fronts.size();
    Http http = new Http("127.0.0.1", (r, c) -> handle(daemon, r, c));
    fronts.add(http);
    return http.address();
  }

  /** Answers a daemon no more, or answers it again. */
  synchronized void setSilent(int daemon, boolean isSilent) {
    silent.put(daemon, isSilent);
  }

  private synchronized boolean isSilent(int daemon) {
    return silent.getOrDefault(daemon, false);
  }

  private long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a row as the operator or a server does; null removes it. */
  synchronized void put(String table, String part, String key, String value) {
    version++;
    set(new Key(table, part, key), value);
    notifyAll();
  }

  /** Returns the value of a row, or null. */
  synchronized String get(String table, String part, String key) {
    Row r = rows.get(new Key(table, part, key));
    return r == null ? null : r.value();
  }

  private void set(Key key, String value) {
    Row row = new Row(key, value, version, value == null);
    if (value == null) {
      rows.remove(key);
    } else {
      rows.put(key, row);
    }
    history.add(row);
  }

  private boolean handle(int daemon, Http.Request request, Http.Connection c) throws Exception {
    if (isSilent(daemon)) {
      Thread.sleep(600_000);
    }
    Thread.sleep(4);
    String path = request.target().split("\\?")[0];
    Map<String, String> query = query(request.target());
    ObjectNode answer = null;
    int status = 200;
    if (path.equals("/rows-tx")) {
      JsonNode t = JSON.readTree(request.body());
      Fate fate = judge.judge(daemon, t);
      if (fate != Fate.DONE) {
        record.add("store daemon=%d tx fate=%s %s", daemon, fate, brief(t));
        if (fate == Fate.LATE) {
          Thread.sleep(lateMillis);
          boolean held = transact(t, JSON.createObjectNode());
          record.add("store daemon=%d late tx performed=%s %s", daemon, held, brief(t));
        }
        Thread.sleep(600_000);
      }
      answer = JSON.createObjectNode();
      boolean held = transact(t, answer);
      status = held ? 200 : 412;
      record.add("store daemon=%d tx status=%d %s", daemon, status, brief(t));
    } else if (path.equals("/rows-get")) {
      answer = read(query);
    } else if (path.equals("/rows-feed")) {
      answer = feed(query);
      if (isSilent(daemon)) {
        Thread.sleep(600_000);
      }
    }
    byte[] body = answer == null ? new byte[0] : JSON.writeValueAsBytes(answer);
    c.write(
        "HTTP/1.1 "
            + (answer == null ? 404 : status)
            + " x\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length
            + "\r\n\r\n");
    c.write(body);
    return true;
  }

  private static String brief(JsonNode t) {
    StringBuilder b = new StringBuilder();
    for (JsonNode p : t.path("puts")) {
      String v = new String(Base64.getDecoder().decode(p.path("value").asText()));
      b.append(p.path("part").asText() + "/" + p.path("key").asText() + "=" + v + " ");
    }
    for (JsonNode p : t.path("remove")) {
      b.append("remove " + p.path("table").asText() + "/" + p.path("key").asText() + " ");
    }
    return b.toString();
  }

  private static Map<String, String> query(String target) {
    Map<String, String> map = new HashMap<>();
    int q = target.indexOf('?');
    if (q >= 0) {
      for (String p : target.substring(q + 1).split("&")) {
        int e = p.indexOf('=');
        map.put(p.substring(0, e), URLDecoder.decode(p.substring(e + 1), StandardCharsets.UTF_8));
      }
    }
    return map;
  }

  private static Key key(JsonNode n) {
    return new Key(n.path("table").asText(), n.path("part").asText(""), n.path("key").asText());
  }

  /** Tells whether the condition of a transaction holds now. */
  synchronized boolean holds(JsonNode t) {
    boolean holds = true;
    for (JsonNode e : t.path("expected")) {
      Row r = rows.get(key(e));
      holds &= (r == null ? 0 : r.ver()) == e.path("ver").asLong();
    }
    return holds;
  }

  private synchronized boolean transact(JsonNode t, ObjectNode answer) {
    answer.put("now_ms", nowMillis());
    if (!holds(t)) {
      ArrayNode list = answer.putArray("rows");
      for (JsonNode e : t.path("expected")) {
        Row r = rows.get(key(e));
        if (r != null) {
          add(list, r);
        } else {
          Key k = key(e);
          list.addObject().put("table", k.table()).put("part", k.part()).put("key", k.key())
              .put("ver", 0).put("deleted", true);
        }
      }
      answer.put("ver", version);
      return false;
    }
    version++;
    for (JsonNode p : t.path("puts")) {
      byte[] value = Base64.getDecoder().decode(p.path("value").asText());
      set(key(p), new String(value, StandardCharsets.UTF_8));
    }
    for (JsonNode p : t.path("remove")) {
      set(key(p), null);
    }
    answer.put("ver", version);
    notifyAll();
    return true;
  }

  private static void add(ArrayNode list, Row r) {
    ObjectNode n = list.addObject();
    n.put("table", r.key().table()).put("part", r.key().part()).put("key", r.key().key());
    n.put("ver", r.ver());
    if (r.deleted()) {
      n.put("deleted", true);
    } else {
      n.put(
          "value",
          Base64.getEncoder().encodeToString(r.value().getBytes(StandardCharsets.UTF_8)));
    }
  }

  private synchronized ObjectNode read(Map<String, String> q) {
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode list = answer.putArray("rows");
    TreeMap<String, Row> found = new TreeMap<>();
    for (Row r : rows.values()) {
      String k = r.key().key();
      if (r.key().table().equals(q.get("table"))
          && r.key().part().equals(q.getOrDefault("part", ""))
          && k.compareTo(q.getOrDefault("from", "")) >= 0
          && (!q.containsKey("to") || k.compareTo(q.get("to")) < 0)) {
        found.put(k, r);
      }
    }
    int limit = Math.min(500, Integer.parseInt(q.getOrDefault("limit", "500")));
    int n = 0;
    for (Row r : found.values()) {
      if (n++ < limit) {
        add(list, r);
      }
    }
    answer.put("has_more", n > limit).put("ver", version).put("now_ms", nowMillis());
    return answer;
  }

  private synchronized ObjectNode feed(Map<String, String> q) throws InterruptedException {
    long after = Long.parseLong(q.get("after_rev"));
    long end = System.nanoTime() + Long.parseLong(q.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode list = answer.putArray("rows");
      for (Row r : history) {
        if (r.ver() > after && r.key().table().equals(q.get("table"))) {
          add(list, r);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!list.isEmpty() || left <= 0) {
        answer.put("ver", version).put("now_ms", nowMillis());
        return answer;
      }
      wait(left);
    }
  }

  @Override
  public void close() throws IOException {
    for (Http h : fronts) {
      h.close();
    }
  }
}
