package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The transactional table service. */
final class TableRole implements Role {

  private static final int MAX_ROWS = 100;
  private static final int MAX_VALUE_BYTES = 64 << 10;
  private static final int MAX_SCAN = 1000;

  /** A row as it is served. */
  record Row(String key, long version, String value) {}

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final RateLimit writes;
  private final RateLimit reads;
  private final Map<String, Long> counts = new LinkedHashMap<>();

  TableRole(int writesPerSecond, int readsPerSecond, LongSupplier now) {
    this.writes = new RateLimit(writesPerSecond, now);
    this.reads = new RateLimit(readsPerSecond, now);
  }

  @Override
  public boolean serves(String path) {
    return path.startsWith("/v1/table/");
  }

  @Override
  public boolean isWrite(HttpRequest request) {
    return request.getPath().equals("/v1/table/transact");
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body) {
    String operation = path.substring("/v1/table/".length());
    count(operation);
    RateLimit limit = operation.equals("transact") ? writes : reads;
    if (!limit.tryTake()) {
      count("rate_limited");
      return Http.error(429, "rate limit").toPromise();
    }
    JsonNode json = Http.read(body);
    return switch (operation) {
      case "transact" -> transact(json.path("mutations")).toPromise();
      case "read" -> read(json.path("keys")).toPromise();
      case "scan" -> scan(json).toPromise();
      default -> Http.error(404, "no such operation").toPromise();
    };
  }

  @Override
  public Object observed() {
    return Map.of("table", counts);
  }

  HttpResponse transact(JsonNode mutations) {
    if (!mutations.isArray() || mutations.isEmpty() || mutations.size() > MAX_ROWS) {
      throw new IllegalArgumentException("a transaction has 1 to " + MAX_ROWS + " mutations");
    }
    Set<String> keys = new HashSet<>();
    List<Map<String, Object>> conflicts = new ArrayList<>();
    for (JsonNode m : mutations) {
      String key = check(m, keys);
      Row row = rows.get(key);
      long version = row == null ? 0 : row.version();
      if (!matches(m.path("expect"), version)) {
        Map<String, Object> c = new LinkedHashMap<>();
        c.put("key", key);
        c.put("version", version);
        c.put("value", row == null ? null : row.value());
        conflicts.add(c);
      }
    }
    if (!conflicts.isEmpty()) {
      count("conflicts");
      return Http.json(409, Map.of("conflicts", conflicts));
    }
    List<Long> versions = new ArrayList<>();
    mutations.forEach(m -> versions.add(apply(m)));
    return Http.json(200, Map.of("versions", versions));
  }

  private static String check(JsonNode mutation, Set<String> keys) {
    String key = mutation.path("key").asText("");
    if (key.isEmpty() || !keys.add(key)) {
      throw new IllegalArgumentException("key is missing or twice in a transaction: " + key);
    }
    JsonNode value = mutation.path("value");
    if (!value.isMissingNode() && !value.isNull() && !value.isTextual()) {
      throw new IllegalArgumentException("value must be a string or null: " + key);
    }
    if (value.asText().getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException("value is above " + MAX_VALUE_BYTES + " bytes: " + key);
    }
    return key;
  }

  private static boolean matches(JsonNode expect, long version) {
    if (expect.isIntegralNumber()) {
      return expect.asLong() == version;
    }
    return switch (expect.asText("")) {
      case "any" -> true;
      case "absent" -> version == 0;
      default -> throw new IllegalArgumentException("expect must be any, absent or a version");
    };
  }

  private long apply(JsonNode mutation) {
    String key = mutation.path("key").asText();
    Row old = rows.get(key);
    long version = old == null ? 0 : old.version();
    if (!mutation.has("value")) {
      return version;
    }
    if (mutation.get("value").isNull()) {
      rows.remove(key);
      return 0;
    }
    rows.put(key, new Row(key, version + 1, mutation.get("value").asText()));
    count("rows_written");
    return version + 1;
  }

  private HttpResponse read(JsonNode keys) {
    List<Row> found = new ArrayList<>();
    for (JsonNode k : keys) {
      Row row = rows.get(k.asText());
      if (row != null) {
        found.add(row);
      }
    }
    return Http.json(200, Map.of("rows", found, "more", false));
  }

  private HttpResponse scan(JsonNode json) {
    String prefix = json.path("prefix").asText("");
    String after = json.path("after").asText("");
    int limit = Math.min(MAX_SCAN, Math.max(1, json.path("limit").asInt(MAX_SCAN)));
    boolean skips = after.compareTo(prefix) >= 0;
    List<Row> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.tailMap(skips ? after : prefix, !skips).values()) {
      if (!row.key().startsWith(prefix)) {
        break;
      }
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.add(row);
    }
    return Http.json(200, Map.of("rows", found, "more", more));
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }
}
