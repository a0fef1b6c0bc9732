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

  /** Transactions must be atomic and must not lose updates, since all budgets rely on this. */
  @Test
  void conditionalWritesAreAtomic() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "table")) {
      assertThat(standIn.json("POST", TRANSACT, put("a", "\"absent\"", "\"1\"")).toString())
          .isEqualTo("{\"versions\":[1]}");
      assertThat(standIn.json("POST", TRANSACT, put("a", "1", "\"2\"")).toString())
          .isEqualTo("{\"versions\":[2]}");
      String mixed =
          "{\"mutations\":[{\"key\":\"b\",\"expect\":\"absent\",\"value\":\"x\"},"
              + "{\"key\":\"a\",\"expect\":1}]}";
      assertThat(standIn.status("POST", TRANSACT, mixed)).isEqualTo(409);
      JsonNode rows = standIn.json("POST", "/v1/table/scan", "{\"prefix\":\"\"}").path("rows");
      assertThat(rows).hasSize(1);
      assertThat(rows.get(0).toString()).isEqualTo("{\"key\":\"a\",\"version\":2,\"value\":\"2\"}");
      assertThat(standIn.status("POST", TRANSACT, put("a", "2", "null"))).isEqualTo(200);
      assertThat(standIn.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").path("rows"))
          .isEmpty();
    }
  }

  /** A scan must not skip or repeat rows between pages. */
  @Test
  void scanReturnsPages() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "table")) {
      for (String k : new String[] {"p/1", "p/2", "p/3", "q/1"}) {
        standIn.json("POST", TRANSACT, put(k, "\"any\"", "\"v\""));
      }
      JsonNode first = standIn.json("POST", "/v1/table/scan", "{\"prefix\":\"p/\",\"limit\":2}");
      assertThat(first.path("more").asBoolean()).isTrue();
      JsonNode rest =
          standIn.json(
              "POST", "/v1/table/scan", "{\"prefix\":\"p/\",\"after\":\"p/2\",\"limit\":2}");
      assertThat(rest.path("rows").findValuesAsText("key")).containsExactly("p/3");
      assertThat(rest.path("more").asBoolean()).isFalse();
    }
  }

  /** The limits of the real service must apply, so that writers can't exceed them unnoticed. */
  @Test
  void limitsAreEnforced() throws Exception {
    try (RunningStandIn standIn =
        new RunningStandIn("--role", "table", "--writes-per-second", "2")) {
      String large = "\"" + "x".repeat((64 << 10) + 1) + "\"";
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"any\"", large))).isEqualTo(400);
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(200);
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"any\"", "\"2\""))).isEqualTo(429);
      assertThat(standIn.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").at("/rows/0/version"))
          .hasToString("1");
    }
  }

  /** A lost response must not undo the write, because this would hide duplicate writes. */
  @Test
  void lostResponseKeepsEffect() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "table")) {
      standIn.faults("{\"lose_next\":1}");
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"absent\"", "\"1\""))).isEqualTo(-1);
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"absent\"", "\"1\""))).isEqualTo(409);
      standIn.faults("{\"lose_probability\":1.0,\"lose_seed\":7}");
      assertThat(standIn.status("POST", TRANSACT, put("a", "1", "\"2\""))).isEqualTo(-1);
      standIn.faults("{\"lose_probability\":0}");
      assertThat(standIn.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").at("/rows/0/version"))
          .hasToString("2");
      assertThat(standIn.json("GET", "/observed", "").path("lost").asInt()).isEqualTo(2);
    }
  }

  /** A service that is down must not apply writes. */
  @Test
  void downServiceAppliesNothing() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "table")) {
      standIn.faults("{\"down\":\"refuse\"}");
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(503);
      standIn.faults("{\"down\":\"drop\"}");
      assertThat(standIn.status("POST", TRANSACT, put("a", "\"any\"", "\"1\""))).isEqualTo(-1);
      standIn.faults("{\"down\":\"\"}");
      assertThat(standIn.json("POST", "/v1/table/read", "{\"keys\":[\"a\"]}").path("rows"))
          .isEmpty();
    }
  }

  /**
   * A conditional create must not overwrite an object, and encoded slashes in keys must be kept.
   */
  @Test
  void objectsAreCreatedOnce() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "objects,hosts")) {
      String path = "/v1/objects/config/d1";
      assertThat(standIn.status("PUT", path, "one", "If-None-Match", "*")).isEqualTo(200);
      assertThat(standIn.status("PUT", path, "two", "If-None-Match", "*")).isEqualTo(412);
      assertThat(standIn.call("GET", "/v1/objects/config%2Fd1", "").body()).isEqualTo("one");
      assertThat(standIn.json("GET", "/v1/objects?prefix=config%2F", "").toString())
          .isEqualTo("{\"keys\":[\"config/d1\"]}");
    }
  }
}
