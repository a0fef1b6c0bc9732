package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.junit.jupiter.api.Test;

class UpstreamCrashesTest {

  private static final int ALLOWED_CRASHES = 5;

  private static ForwardHarness harness() {
    return new ForwardHarness(RetryPolicy.RESUMABLE, true, 2, 12);
  }

  private static boolean contains(ForwardHarness.Sent sent, String part) {
    PromptShape prompt = sent.request.caller().prompt().orElseThrow();
    return prompt.sharedPartIds().contains(part);
  }

  /** Serves a request; each upstream that gets it ends after the head of its response. */
  private static void serveAndCrash(ForwardHarness h, String... parts) {
    int handled = h.sent.size();
    h.serve(ForwardHarness.prompt(parts));
    for (int i = handled; i < h.sent.size(); i++) {
      h.sent.get(i).head(200);
      h.sent.get(i).fail(AttemptOutcome.BROKEN);
    }
    h.scheduler.run(300);
  }

  private static void serveAndComplete(ForwardHarness h, String... parts) {
    int before = h.sent.size();
    h.serve(ForwardHarness.prompt(parts));
    if (h.sent.size() > before) {
      h.last().head(200);
      h.last().event(1);
      h.last().listener.onEnd();
    }
    h.scheduler.run(300);
  }

  /** Guards against a prompt part that ends one upstream after the other. */
  @Test
  void stopsRequestsWithPromptPartThatCrashesUpstreams() {
    ForwardHarness h = harness();
    for (int i = 0; i < 12; i++) {
      serveAndCrash(h, "common", "deadly", "own" + i);
      serveAndComplete(h, "common", "sound", "own" + i);
    }
    assertThat(h.sent.stream().filter(s -> contains(s, "deadly")))
        .hasSizeLessThanOrEqualTo(ALLOWED_CRASHES);
    assertThat(h.sent.stream().filter(s -> contains(s, "sound"))).hasSize(12);
  }
}
