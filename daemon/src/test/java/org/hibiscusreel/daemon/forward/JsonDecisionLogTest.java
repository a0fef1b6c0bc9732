package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class JsonDecisionLogTest {

  @Test
  void writesOneLineForEachDecision() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonDecisionLog log =
        new JsonDecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), "d.1", () -> 5);
    log.start();
    log.record("request", Map.of("id", "a\n\"b"));
    log.stop();
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo(
            "{\"at_ms\":5,\"incarnation\":\"d.1\",\"event\":\"request\",\"id\":\"a\\n\\\"b\"}\n");
  }

  /** Guards against an age of 292 million years of what was never known. */
  @Test
  void leavesUnknownAgesOut() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonDecisionLog log =
        new JsonDecisionLog(new PrintStream(out, true, StandardCharsets.UTF_8), "d.1", () -> 5);
    log.start();
    log.record("store_lost", Map.of("age_ms", Long.MAX_VALUE));
    log.stop();
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo("{\"at_ms\":5,\"incarnation\":\"d.1\",\"event\":\"store_lost\"}\n");
  }

  /** Guards against decisions that block while the output is not read. */
  @Test
  @Timeout(20)
  void neverBlocksAndCountsWhatItDrops() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int b) throws IOException {
            try {
              never.await();
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
        };
    JsonDecisionLog log =
        new JsonDecisionLog(new PrintStream(stuck, true, StandardCharsets.UTF_8), "d.1", () -> 5);
    log.start();
    long begin = System.nanoTime();
    for (int i = 0; i < 2 * JsonDecisionLog.MAX_QUEUED_LINES; i++) {
      log.record("request", Map.of());
    }
    assertThat(Duration.ofNanos(System.nanoTime() - begin)).isLessThan(Duration.ofSeconds(10));
    assertThat(log.dropped()).isGreaterThanOrEqualTo(JsonDecisionLog.MAX_QUEUED_LINES - 1L);
    never.countDown();
    log.stop();
  }
}
