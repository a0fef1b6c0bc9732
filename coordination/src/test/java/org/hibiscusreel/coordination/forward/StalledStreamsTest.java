package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscusreel.core.forward.RetryPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays streams that make no progress although bytes come, and slow ones that do. */
class StalledStreamsTest {

  private static final long STEP_MILLIS = 50;

  /** Guards against a stream that is never ended because a byte comes now and then. */
  @ParameterizedTest
  @CsvSource({"ONCE, 0", "ONCE, 1", "RESUMABLE, 0", "RESUMABLE, 1"})
  void endsStreamOfSingleBytesAtItsTimeout(RetryPolicy policy, int wholeEvents) {
    ForwardHarness h = new ForwardHarness(policy, true, 1, 1);
    h.serve(ForwardHarness.plain("/a/x", "key"));
    ForwardHarness.Sent sent = h.last();
    sent.head(200);
    for (int i = 1; i <= wholeEvents; i++) {
      sent.event(i);
    }
    long begin = h.scheduler.nowMillis();
    while (!sent.cancelled && h.scheduler.nowMillis() - begin < 3 * ForwardHarness.TIMEOUT_MILLIS) {
      sent.bytes("x");
      h.scheduler.run(STEP_MILLIS);
    }
    assertThat(h.scheduler.nowMillis() - begin).isLessThanOrEqualTo(ForwardHarness.TIMEOUT_MILLIS);
    assertThat(h.callerEvents.get(h.callerEvents.size() - 1))
        .isEqualTo(wholeEvents == 0 ? "TIMED_OUT" : "abort");
  }

  /** Guards against cutting a stream whose events come late, but come. */
  @ParameterizedTest
  @CsvSource({"ONCE", "RESUMABLE"})
  void keepsSlowStream(RetryPolicy policy) {
    ForwardHarness h = new ForwardHarness(policy, true, 2, 2);
    h.serve(ForwardHarness.plain("/a/x", "key"));
    ForwardHarness.Sent sent = h.last();
    sent.head(200);
    for (int i = 1; i <= 3; i++) {
      h.scheduler.run(4 * ForwardHarness.MAX_PAUSE_MILLIS);
      sent.event(i);
    }
    sent.listener.onEnd();
    assertThat(h.sent).hasSize(1);
    assertThat(h.callerEvents).endsWith("end");
  }
}
