package org.hibiscusreel.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

class PlatformStandInTest {

  private static final String TRANSACT = "/v1/table/transact";

  private static String put(String key, String expect, String value) {
    return "{\"mutations\":[{\"key\":\"%s\",\"expect\":%s,\"value\":%s}]}"
        .formatted(key, expect, value);
  }

  /** Guards against lost updates and half-applied transactions, on which every budget relies. */
  @Test
  void conditionalWritesAreAtomic() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "table")) {
      assertThat(s.json("POST", TRANSACT, put("a", "\"absent\"", "\"1\"")).toString())
          .isEqualTo("{\"versions\":[1]}");
      assertThat(s.json("POST", TRANSACT, put("a", "1", "\"2\"")).toString())
          .isEqualTo("{\"versions\":[2]}");
      String mixed =
          "{\"mutations\":[{\"key\":\"b\",\"expect\":\"absent\",\"value\":\"x\"},"
              + "{\"key\":\"a\",\"expect\":1}]}";
      assertThat(s.status("POST", TRANSACT, mixed)).isEqualTo(409);
      JsonNode rows = s.json("POST", "/v1/table/scan", "{\"prefix\":\"\"}").path("rows");
      assertThat(rows).hasSize(1);
      assertThat(rows.get(0).toString()).isEqualTo("{\"key\":\"a\",\"version\":2,\"value\":\"2\"}");
      assertThat(s.status("POST", TRANSACT, put("a", "2", "null"))).isEqualTo(200);
      assertThat(s.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").path("rows")).isEmpty();
    }
  }

  /** Guards against a scan that skips or repeats rows between pages. */
  @Test
  void scanReturnsPages() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "table")) {
      for (String k : new String[] {"p/1", "p/2", "p/3", "q/1"}) {
        s.json("POST", TRANSACT, put(k, "\"any\"", "\"v\""));
      }
      JsonNode first = s.json("POST", "/v1/table/scan", "{\"prefix\":\"p/\",\"limit\":2}");
      assertThat(first.path("more").asBoolean()).isTrue();
      JsonNode rest =
          s.json("POST", "/v1/table/scan", "{\"prefix\":\"p/\",\"after\":\"p/2\",\"limit\":2}");
      assertThat(rest.path("rows").findValuesAsText("key")).containsExactly("p/3");
      assertThat(rest.path("more").asBoolean()).isFalse();
    }
  }

  /** Guards against writers that rely on more than the limits of the real service. */
  @Test
  void limitsAreEnforced() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "table", "--writes-per-second", "2")) {
      String large = "\"" + "x".repeat((64 << 10) + 1) + "\"";
      assertThat(s.status("POST", TRANSACT, put("a", "\"any\"", large))).isEqualTo(400);
      assertThat(s.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(200);
      assertThat(s.status("POST", TRANSACT, put("a", "\"any\"", "\"2\""))).isEqualTo(429);
      assertThat(s.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").at("/rows/0/version"))
          .hasToString("1");
    }
  }

  /** Guards against a lost response that also loses the write, which would hide double writes. */
  @Test
  void lostResponseKeepsTheEffect() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "table")) {
      s.faults("{\"lose_next\":1}");
      assertThat(s.status("POST", TRANSACT, put("a", "\"absent\"", "\"1\""))).isEqualTo(-1);
      assertThat(s.status("POST", TRANSACT, put("a", "\"absent\"", "\"1\""))).isEqualTo(409);
      s.faults("{\"lose_probability\":1.0,\"lose_seed\":7}");
      assertThat(s.status("POST", TRANSACT, put("a", "1", "\"2\""))).isEqualTo(-1);
      s.faults("{\"lose_probability\":0}");
      assertThat(s.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").at("/rows/0/version"))
          .hasToString("2");
      assertThat(s.json("GET", "/observed", "").path("lost").asInt()).isEqualTo(2);
    }
  }

  /** Guards against an outage that still applies writes. */
  @Test
  void downServiceAppliesNothing() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "table")) {
      s.faults("{\"down\":\"refuse\"}");
      assertThat(s.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(503);
      s.faults("{\"down\":\"drop\"}");
      assertThat(s.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(-1);
      s.faults("{\"down\":\"\"}");
      assertThat(s.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").path("rows")).isEmpty();
    }
  }

  /** Guards against a create that overwrites an object, and against keys that lose their slash. */
  @Test
  void objectsAreCreatedOnce() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "objects,hosts")) {
      String path = "/v1/objects/config/d1";
      assertThat(s.status("PUT", path, "one", "If-None-Match", "*")).isEqualTo(200);
      assertThat(s.status("PUT", path, "two", "If-None-Match", "*")).isEqualTo(412);
      assertThat(s.call("GET", "/v1/objects/config%2Fd1", "").body()).isEqualTo("one");
      assertThat(s.json("GET", "/v1/objects?prefix=config%2F", "").toString())
          .isEqualTo("{\"keys\":[\"config/d1\"]}");
    }
  }
}
