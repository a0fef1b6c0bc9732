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
    ObjectNode b = Http.MAPPER.createObjectNode().put("model", "m").put("stream", true);
    b.put("max_tokens", maxTokens);
    b.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return b.toString();
  }

  private static String text(String events) throws Exception {
    StringBuilder b = new StringBuilder();
    for (String line : events.lines().toList()) {
      if (line.startsWith("data: {")) {
        b.append(Http.MAPPER.readTree(line.substring(6)).at("/choices/0/delta/content").asText(""));
      }
    }
    return b.toString();
  }

  private static String read(InputStream in, int bytes) throws Exception {
    return new String(in.readNBytes(bytes), StandardCharsets.UTF_8);
  }

  private static JsonNode generation(RunningStandIn s, String id) throws Exception {
    for (JsonNode g : s.json("GET", "/observed", "").path("generations")) {
      if (g.path("stream_id").asText().equals(id)) {
        return g;
      }
    }
    throw new AssertionError("not observed: " + id);
  }

  private static void await(RunningStandIn s, String id, String state) throws Exception {
    for (int i = 0; i < 200 && !generation(s, id).path("state").asText().equals(state); i++) {
      Thread.sleep(20);
    }
    assertThat(generation(s, id).path("state").asText()).isEqualTo(state);
  }

  /** Guards against a checker whose expectation differs from what the engine sends. */
  @Test
  void answerEqualsTheRecomputedOne() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine", "--step-ms", "1")) {
      for (int i = 0; i < 6; i++) {
        String b = body("prompt " + i, 12);
        String metadata = "eyJzZXJ2ZXIiOiJzMSJ9";
        String id = "a." + i;
        String got =
            s.call("POST", CHAT, b, "X-Stream-Id", id, "X-Request-Metadata", metadata).body();
        Generation g = Generation.of(Http.MAPPER.readTree(b));
        assertThat(text(got)).isEqualTo(g.text());
        assertThat(got).contains("\"finish_reason\":\"" + g.finishReason());
        assertThat(got).endsWith("data: [DONE]\n\n");
      }
      assertThat(s.json("GET", "/v1/usage?server=s1&after=2", "").path("records")).hasSize(4);
      assertThat(s.json("GET", "/v1/usage?server=s2&after=0", "").path("records")).isEmpty();
    }
  }

  /** Guards against a resumed stream that repeats or skips tokens. */
  @Test
  void resumeContinuesAtTheOffset() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine", "--step-ms", "2")) {
      String b = body("resume", 40);
      try (InputStream in = s.open("POST", CHAT, b, "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
      }
      String rest = s.call("GET", "/v1/streams/a.1?offset=7", "").body();
      assertThat(rest).startsWith("id: 7\n");
      Generation g = Generation.of(Http.MAPPER.readTree(b));
      assertThat(g.text()).endsWith(text(rest));
      assertThat(text(rest)).hasSize((g.pieces() - 7) * g.piece(0).length());
      assertThat(s.status("GET", "/v1/streams/a.2?offset=0", "")).isEqualTo(404);
    }
  }

  /** Guards against abandoned or cancelled generations that keep their place in the batch. */
  @Test
  void abandonedAndCancelledStreamsEnd() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine", "--abort-ms", "100")) {
      try (InputStream in = s.open("POST", CHAT, body("left", 9000), "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
      }
      await(s, "a.1", "aborted");
      try (InputStream in = s.open("POST", CHAT, body("cancel", 9000), "X-Stream-Id", "a.2")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        assertThat(s.status("DELETE", "/v1/streams/a.2", "")).isEqualTo(200);
      }
      await(s, "a.2", "cancelled");
      assertThat(s.json("GET", "/v1/usage?after=0", "").path("records").findValuesAsText("state"))
          .containsExactly("aborted", "cancelled");
      assertThat(s.json("GET", "/observed", "").path("running").asInt()).isZero();
    }
  }

  /** Guards against a queue that ignores priorities or grows without bound. */
  @Test
  void queueIsBoundedAndOrderedByPriority() throws Exception {
    try (RunningStandIn s =
        new RunningStandIn("--role", "engine", "--capacity", "1", "--queue", "2")) {
      List<InputStream> open = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        String priority = Integer.toString(i);
        open.add(
            s.open(
                "POST", CHAT, body("p" + i, 20), "X-Stream-Id", "a." + i, "X-Priority", priority));
      }
      assertThat(s.status("POST", CHAT, body("p3", 20))).isEqualTo(503);
      for (InputStream in : open) {
        in.readAllBytes();
      }
      assertThat(s.json("GET", "/v1/usage?after=0", "").findValuesAsText("stream_id"))
          .containsExactly("a.0", "a.2", "a.1");
    }
  }

  /** Guards against a stale order from a paused holder being accepted where it is checked. */
  @Test
  void staleFencingIsRefusedUnlessIgnored() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine")) {
      assertThat(s.status("PUT", "/v1/state", "{\"fencing\":5,\"models\":[\"x\"]}")).isEqualTo(200);
      assertThat(s.status("PUT", "/v1/state", "{\"fencing\":4,\"models\":[]}")).isEqualTo(409);
      assertThat(s.json("GET", "/v1/state", "").at("/models/0").asText()).isEqualTo("x");
      s.faults("{\"fencing_ignored\":true}");
      assertThat(s.status("PUT", "/v1/state", "{\"fencing\":4,\"models\":[]}")).isEqualTo(200);
    }
  }

  /** Guards against a crash that spares the other streams or never ends. */
  @Test
  void crashMarkerDropsAllStreams() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine")) {
      s.faults("{\"crash_marker\":\"BOOM\",\"crash_ms\":300}");
      try (InputStream in = s.open("POST", CHAT, body("victim", 9000), "X-Stream-Id", "a.1")) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        assertThat(s.status("POST", CHAT, body("BOOM", 5))).isEqualTo(-1);
        assertThat(s.status("GET", "/v1/load", "")).isEqualTo(-1);
        assertThat(catchThrowable(in::readAllBytes)).isNotNull();
      }
      Thread.sleep(400);
      assertThat(s.status("GET", "/v1/streams/a.1?offset=1", "")).isEqualTo(404);
      assertThat(s.json("GET", "/observed", "").path("crashes").asInt()).isEqualTo(1);
      assertThat(generation(s, "a.1").path("state").asText()).isEqualTo("crashed");
    }
  }

  /** Guards against load reports that are fresher than configured. */
  @Test
  void loadReportsLag() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "engine", "--load-lag-ms", "60000")) {
      try (InputStream in = s.open("POST", CHAT, body("load", 9000))) {
        assertThat(read(in, 5)).isEqualTo("id: 0");
        Thread.sleep(200);
        assertThat(s.json("GET", "/v1/load", "").path("running").asInt()).isZero();
      }
    }
  }

  /** Guards against cache events without lag, gap or eviction, which routing must cope with. */
  @Test
  void cacheEventsAreLateWithGapsAndEvictions() {
    long[] now = {0};
    PrefixCache cache = new PrefixCache(2, 100, 0.3, 5, () -> now[0]);
    String prompt = "x".repeat(3 * PrefixCache.BLOCK_CHARS);
    assertThat(cache.use(prompt)).isZero();
    assertThat(cache.eventsAfter(0)).isEmpty();
    now[0] = 100;
    for (int i = 0; i < 20; i++) {
      cache.use(i + prompt);
    }
    now[0] = 200;
    assertThat(cache.eventsAfter(0)).hasSizeBetween(40, 110);
    assertThat(cache.eventsAfter(0)).anyMatch(e -> e.get("kind").equals("evicted"));
    String last = 19 + prompt;
    assertThat(cache.use(last.substring(0, PrefixCache.BLOCK_CHARS))).isZero();
  }

  /** Guards against a plain service that hides repeated runs from the checker. */
  @Test
  void serviceCountsEveryRun() throws Exception {
    try (RunningStandIn s = new RunningStandIn("--role", "service")) {
      s.faults("{\"lose_next\":1}");
      assertThat(s.status("POST", "/sign", "{}", "Idempotency-Key", "k1")).isEqualTo(-1);
      String receipt = s.call("POST", "/sign", "{}", "Idempotency-Key", "k1").body();
      assertThat(receipt).contains("\"run\":2").contains(Generation.receipt("k1", "sign"));
      assertThat(s.json("GET", "/observed", "").path("runs")).hasSize(2);
    }
  }
}
