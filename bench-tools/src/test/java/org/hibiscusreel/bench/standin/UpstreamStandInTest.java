package org.hibiscusreel.bench.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamStandInTest {

  private static final String CHAT = "/v1/chat/completions";

  private static String body(String prompt, int maxTokens) {
    ObjectNode json = JsonHttp.MAPPER.createObjectNode().put("model", "m").put("stream", true);
    json.put("max_tokens", maxTokens);
    json.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return json.toString();
  }

  private static String text(String events) throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : events.lines().toList()) {
      if (line.startsWith("data: {")) {
        text.append(
            JsonHttp.MAPPER.readTree(line.substring(6)).at("/choices/0/delta/content").asText(""));
      }
    }
    return text.toString();
  }

  private static String read(InputStream in, int bytes) throws Exception {
    return new String(in.readNBytes(bytes), StandardCharsets.UTF_8);
  }

  private static JsonNode generation(RunningStandIn standIn, String id) throws Exception {
    for (JsonNode generation : standIn.json("GET", "/observed", "").path("generations")) {
      if (generation.path("stream_id").asText().equals(id)) {
        return generation;
      }
    }
    throw new AssertionError("generation not observed: " + id);
  }

  private static void await(RunningStandIn standIn, String id, String state) throws Exception {
    for (int i = 0; i < 200 && !generation(standIn, id).path("state").asText().equals(state); i++) {
      Thread.sleep(20);
    }
    assertThat(generation(standIn, id).path("state").asText()).isEqualTo(state);
  }

  /** The text that a checker recomputes must equal the text that the engine sends. */
  @Test
  void responseEqualsRecomputedText() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "engine", "--step-ms", "1")) {
      for (int i = 0; i < 6; i++) {
        String requestBody = body("prompt " + i, 12);
        String metadata = "eyJzZXJ2ZXIiOiJzMSJ9";
        String id = "a." + i;
        String got =
            standIn
                .call("POST", CHAT, requestBody, "X-Stream-Id", id, "X-Request-Metadata", metadata)
                .body();
        Generation generation = Generation.of(JsonHttp.MAPPER.readTree(requestBody));
        assertThat(text(got)).isEqualTo(generation.text());
        assertThat(got).contains("\"finish_reason\":\"" + generation.finishReason());
        assertThat(got).endsWith("data: [DONE]\n\n");
      }
      assertThat(standIn.json("GET", "/v1/usage?server=s1&after=2", "").path("records")).hasSize(4);
      assertThat(standIn.json("GET", "/v1/usage?server=s2&after=0", "").path("records")).isEmpty();
    }
  }

  /** A resumed stream must not repeat or skip tokens. */
  @Test
  void resumeContinuesAtOffset() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "engine", "--step-ms", "2")) {
      String requestBody = body("resume", 40);
      try (InputStream in = standIn.open("POST", CHAT, requestBody, "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
      }
      String rest = standIn.call("GET", "/v1/streams/a.1?offset=7", "").body();
      assertThat(rest).startsWith("id: 7\n");
      Generation generation = Generation.of(JsonHttp.MAPPER.readTree(requestBody));
      assertThat(generation.text()).endsWith(text(rest));
      assertThat(text(rest)).hasSize((generation.pieces() - 7) * generation.piece(0).length());
      assertThat(standIn.status("GET", "/v1/streams/a.2?offset=0", "")).isEqualTo(404);
    }
  }

  /** Abandoned and cancelled generations must release their place in the batch. */
  @Test
  void abandonedAndCancelledStreamsEnd() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "engine", "--abort-ms", "100")) {
      try (InputStream in = standIn.open("POST", CHAT, body("left", 9000), "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
      }
      await(standIn, "a.1", "aborted");
      try (InputStream in =
          standIn.open("POST", CHAT, body("cancel", 9000), "X-Stream-Id", "a.2")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        assertThat(standIn.status("DELETE", "/v1/streams/a.2", "")).isEqualTo(200);
      }
      await(standIn, "a.2", "cancelled");
      assertThat(
              standIn
                  .json("GET", "/v1/usage?after=0", "")
                  .path("records")
                  .findValuesAsText("state"))
          .containsExactly("aborted", "cancelled");
      assertThat(standIn.json("GET", "/observed", "").path("running").asInt()).isZero();
    }
  }

  /** The queue must be ordered by priority and bounded. */
  @Test
  void queueIsBoundedAndOrderedByPriority() throws Exception {
    try (RunningStandIn standIn =
        new RunningStandIn("--role", "engine", "--capacity", "1", "--queue", "2")) {
      List<InputStream> open = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        String priority = Integer.toString(i);
        open.add(
            standIn.open(
                "POST", CHAT, body("p" + i, 20), "X-Stream-Id", "a." + i, "X-Priority", priority));
      }
      assertThat(standIn.status("POST", CHAT, body("p3", 20))).isEqualTo(503);
      for (InputStream in : open) {
        in.readAllBytes();
      }
      assertThat(standIn.json("GET", "/v1/usage?after=0", "").findValuesAsText("stream_id"))
          .containsExactly("a.0", "a.2", "a.1");
    }
  }

  /** A stale order from a paused holder must be refused unless fencing is ignored. */
  @Test
  void staleFencingIsRefusedUnlessIgnored() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "engine")) {
      assertThat(standIn.status("PUT", "/v1/state", "{\"fencing\":5,\"models\":[\"x\"]}"))
          .isEqualTo(200);
      assertThat(standIn.status("PUT", "/v1/state", "{\"fencing\":4,\"models\":[]}"))
          .isEqualTo(409);
      assertThat(standIn.json("GET", "/v1/state", "").at("/models/0").asText()).isEqualTo("x");
      standIn.faults("{\"fencing_ignored\":true}");
      assertThat(standIn.status("PUT", "/v1/state", "{\"fencing\":4,\"models\":[]}"))
          .isEqualTo(200);
    }
  }

  /** A crash must drop all streams and end after the configured time. */
  @Test
  void crashMarkerDropsAllStreams() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "engine")) {
      standIn.faults("{\"crash_marker\":\"BOOM\",\"crash_ms\":300}");
      try (InputStream in =
          standIn.open("POST", CHAT, body("victim", 9000), "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        assertThat(standIn.status("POST", CHAT, body("BOOM", 5))).isEqualTo(-1);
        assertThat(standIn.status("GET", "/v1/load", "")).isEqualTo(-1);
        assertThat(catchThrowable(in::readAllBytes)).isNotNull();
      }
      Thread.sleep(400);
      assertThat(standIn.status("GET", "/v1/streams/a.1?offset=1", "")).isEqualTo(404);
      assertThat(standIn.json("GET", "/observed", "").path("crashes").asInt()).isEqualTo(1);
      assertThat(generation(standIn, "a.1").path("state").asText()).isEqualTo("crashed");
    }
  }

  /** Load reports must not be newer than the configured lag allows. */
  @Test
  void loadReportsLag() throws Exception {
    try (RunningStandIn standIn =
        new RunningStandIn("--role", "engine", "--load-lag-ms", "60000")) {
      try (InputStream in = standIn.open("POST", CHAT, body("load", 9000))) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        Thread.sleep(200);
        assertThat(standIn.json("GET", "/v1/load", "").path("running").asInt()).isZero();
      }
    }
  }

  /**
   * Cache events must be delayed, partly lost and include evictions, because routing must handle
   * this.
   */
  @Test
  void cacheEventsAreDelayedLostAndIncludeEvictions() {
    long[] now = {0};
    PrefixCache cache = new PrefixCache(2, 100, 0.3, 5, () -> now[0]);
    String prompt = "x".repeat(3 * PrefixCache.BLOCK_CHARS);
    assertThat(cache.lookUpAndStore(prompt)).isZero();
    assertThat(cache.eventsAfter(0)).isEmpty();
    now[0] = 100;
    for (int i = 0; i < 20; i++) {
      cache.lookUpAndStore(i + prompt);
    }
    now[0] = 200;
    assertThat(cache.eventsAfter(0)).hasSizeBetween(40, 110);
    assertThat(cache.eventsAfter(0)).anyMatch(e -> e.get("kind").equals("evicted"));
    String last = 19 + prompt;
    assertThat(cache.lookUpAndStore(last.substring(0, PrefixCache.BLOCK_CHARS))).isZero();
  }

  /** Each run of a call must be counted, so that a checker can detect repeated runs. */
  @Test
  void serviceCountsEveryRun() throws Exception {
    try (RunningStandIn standIn = new RunningStandIn("--role", "service")) {
      standIn.faults("{\"lose_next\":1}");
      assertThat(standIn.status("POST", "/sign", "{}", "Idempotency-Key", "k1")).isEqualTo(-1);
      String receipt = standIn.call("POST", "/sign", "{}", "Idempotency-Key", "k1").body();
      assertThat(receipt).contains("\"run\":2").contains(Generation.receipt("k1", "sign"));
      assertThat(standIn.json("GET", "/observed", "").path("runs")).hasSize(2);
    }
  }
}
