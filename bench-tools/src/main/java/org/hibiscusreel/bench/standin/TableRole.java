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

/** Simulates the transactional table service. */
final class TableRole implements Role {

  private static final int MAX_MUTATIONS = 100;
  private static final int MAX_VALUE_BYTES = 64 << 10;
  private static final int MAX_SCAN_ROWS = 1000;

  /** A row in the format of responses. */
  record Row(String key, long version, String value) {}

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final TokenBucket writes;
  private final TokenBucket reads;
  private final Map<String, Long> operationCounts = new LinkedHashMap<>();

  TableRole(int writesPerSecond, int readsPerSecond, LongSupplier clock) {
    this.writes = new TokenBucket(writesPerSecond, clock);
    this.reads = new TokenBucket(readsPerSecond, clock);
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
    TokenBucket limit = operation.equals("transact") ? writes : reads;
    if (!limit.tryAcquire()) {
      count("rate_limited");
      return JsonHttp.error(429, "rate limit").toPromise();
    }
    JsonNode json = JsonHttp.parse(body);
    return switch (operation) {
      case "transact" -> transact(json.path("mutations")).toPromise();
      case "read" -> read(json.path("keys")).toPromise();
      case "scan" -> scan(json).toPromise();
      default -> JsonHttp.error(404, "no such operation").toPromise();
    };
  }

  @Override
  public Object observed() {
    return Map.of("table", operationCounts);
  }

  HttpResponse transact(JsonNode mutations) {
    if (!mutations.isArray() || mutations.isEmpty() || mutations.size() > MAX_MUTATIONS) {
      throw new IllegalArgumentException("a transaction has 1 to " + MAX_MUTATIONS + " mutations");
    }
    Set<String> keys = new HashSet<>();
    List<Map<String, Object>> conflicts = new ArrayList<>();
    for (JsonNode mutation : mutations) {
      String key = check(mutation, keys);
      Row row = rows.get(key);
      long version = row == null ? 0 : row.version();
      if (!matches(mutation.path("expect"), version)) {
        Map<String, Object> conflict = new LinkedHashMap<>();
        conflict.put("key", key);
        conflict.put("version", version);
        conflict.put("value", row == null ? null : row.value());
        conflicts.add(conflict);
      }
    }
    if (!conflicts.isEmpty()) {
      count("conflicts");
      return JsonHttp.json(409, Map.of("conflicts", conflicts));
    }
    List<Long> versions = new ArrayList<>();
    mutations.forEach(mutation -> versions.add(apply(mutation)));
    return JsonHttp.json(200, Map.of("versions", versions));
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
    for (JsonNode key : keys) {
      Row row = rows.get(key.asText());
      if (row != null) {
        found.add(row);
      }
    }
    return JsonHttp.json(200, Map.of("rows", found, "more", false));
  }

  private HttpResponse scan(JsonNode json) {
    String prefix = json.path("prefix").asText("");
    String after = json.path("after").asText("");
    int limit = Math.min(MAX_SCAN_ROWS, Math.max(1, json.path("limit").asInt(MAX_SCAN_ROWS)));
    boolean startsAfter = after.compareTo(prefix) >= 0;
    List<Row> found = new ArrayList<>();
    boolean more = false;
    for (Row row : rows.tailMap(startsAfter ? after : prefix, !startsAfter).values()) {
      if (!row.key().startsWith(prefix)) {
        break;
      }
      if (found.size() == limit) {
        more = true;
        break;
      }
      found.add(row);
    }
    return JsonHttp.json(200, Map.of("rows", found, "more", more));
  }

  private void count(String counter) {
    operationCounts.merge(counter, 1L, Long::sum);
  }
}
