package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that an upstream gets no more requests than its responses say that it wants. */
class UpstreamNoticesTest {

  private static final UpstreamNotice LEAVING =
      new UpstreamNotice(new RequestLimit.Unlimited(), true, new PauseRequest.None());

  private static UpstreamNotice pause(String seconds) {
    return new UpstreamNotice(
        new RequestLimit.Unlimited(), false, PauseRequest.parse(Optional.of(seconds)));
  }

  private static ForwardHarness harness(boolean streamed, int upstreams) {
    return new ForwardHarness(
        streamed ? RetryPolicy.RESUMABLE : RetryPolicy.ONCE, streamed, 2, upstreams);
  }

  private static ForwardHarness.Sent request(ForwardHarness h) {
    h.serve(ForwardHarness.plain("/a/x", "key"));
    return h.last();
  }

  static Stream<Arguments> responses() {
    return Stream.of(
        row("success", false, s -> s.respond(200, "ok")),
        row("failure", false, s -> s.respond(500, "failed")),
        row("refusal", false, s -> s.fail(AttemptOutcome.NOT_EXECUTED)),
        row("broken after the head", false, s -> s.fail(AttemptOutcome.BROKEN)),
        row(
            "whole stream",
            true,
            s -> {
              s.head(200);
              s.event(1);
              s.listener.onEnd();
            }),
        row(
            "stream that goes on",
            true,
            s -> {
              s.head(200);
              s.event(1);
            }),
        row(
            "broken stream",
            true,
            s -> {
              s.head(200);
              s.event(1);
              s.fail(AttemptOutcome.BROKEN);
            }));
  }

  private static Arguments row(
      String name, boolean streamed, Consumer<ForwardHarness.Sent> response) {
    return Arguments.of(name, streamed, response);
  }

  /**
   * Guards against requests to an upstream that has said in a response that it is leaving, while
   * the store still lists it.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("responses")
  void offersNothingToLeavingUpstream(
      String name, boolean streamed, Consumer<ForwardHarness.Sent> response) {
    ForwardHarness h = harness(streamed, 2);
    ForwardHarness.Sent first = request(h);
    first.listener.onNotice(LEAVING);
    response.accept(first);
    UpstreamEntry gone = first.upstream;
    // The entry lapses and comes back, as after an outage of the store.
    h.upstreams.remove(gone.id(), h.scheduler.nowMillis());
    h.upstreams.put(gone);
    for (int i = 0; i < 20; i++) {
      assertThat(request(h).upstream.id()).isNotEqualTo(gone.id());
    }
    h.upstreams.put(
        new UpstreamEntry(gone.id(), "s", gone.address(), "here", false, 4, 1_700_000_000_000L));
    int before = h.sent.size();
    for (int i = 0; i < 20; i++) {
      request(h);
    }
    assertThat(h.sent.subList(before, h.sent.size()))
        .anyMatch(s -> s.upstream.id().equals(gone.id()));
  }

  /** Guards against requests that wait for their deadline although no upstream is left. */
  @Test
  void refusesAtOnceWhenAllUpstreamsAreLeaving() {
    ForwardHarness h = harness(false, 1);
    ForwardHarness.Sent first = request(h);
    first.listener.onNotice(LEAVING);
    first.respond(200, "ok");
    request(h);
    assertThat(h.sent).hasSize(1);
    assertThat(h.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
  }

  static Stream<Arguments> pauses() {
    return Stream.of(
        Arguments.of("1", 1_000),
        Arguments.of("0.25", 250),
        Arguments.of(" 2.5 ", 2_500),
        Arguments.of("0", 0),
        Arguments.of("99999999", PauseRequest.MAX_MILLIS),
        Arguments.of("-1", 0),
        Arguments.of("soon", 0),
        Arguments.of("1e9", 0),
        Arguments.of("NaN", 0),
        Arguments.of("", 0),
        Arguments.of("Fri, 04 Dec 2026 10:00:00 GMT", 0));
  }

  /** Guards against requests to an upstream during the pause for which it asked. */
  @ParameterizedTest
  @MethodSource("pauses")
  void offersNothingDuringPause(String seconds, long millis) {
    ForwardHarness h = harness(false, 1);
    ForwardHarness.Sent first = request(h);
    first.listener.onNotice(pause(seconds));
    first.fail(AttemptOutcome.NOT_EXECUTED);
    final long begin = h.scheduler.nowMillis();
    // The other requests of the upstream had ended before, so that it is not avoided for a failure.
    int refusedAtOnce = 0;
    while (h.scheduler.nowMillis() - begin < Math.min(millis, 4_000) - 30) {
      request(h);
      assertThat(h.sent).hasSize(1);
      assertThat(h.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
      assertThat(h.scheduler.nowMillis() - begin + h.refusal.retryAfterMillis())
          .isBetween(millis, millis + 40);
      refusedAtOnce++;
      h.scheduler.run(70);
    }
    assertThat(refusedAtOnce).isEqualTo(h.callerEvents.size() - 1);
    if (millis < 4_000) {
      h.scheduler.run(Math.max(0, begin + millis - h.scheduler.nowMillis()));
      request(h);
      assertThat(h.sent).hasSize(2);
    }
  }

  /** Guards against a shorter pause that replaces a longer one, and against a retry during it. */
  @Test
  void keepsTheLatestEndOfSeveralPauses() {
    ForwardHarness h = harness(false, 2);
    ForwardHarness.Sent a = request(h);
    ForwardHarness.Sent b = request(h);
    assertThat(a.upstream).isNotEqualTo(b.upstream);
    b.listener.onNotice(pause("0.5"));
    a.listener.onNotice(pause("3"));
    a.fail(AttemptOutcome.NOT_EXECUTED);
    assertThat(h.sent).hasSize(2);
    assertThat(h.refusal.retryAfterMillis()).isBetween(400L, 500L);
    a.listener.onNotice(pause("1"));
    h.scheduler.run(1_500);
    for (int i = 0; i < 10; i++) {
      assertThat(request(h).upstream).isEqualTo(b.upstream);
    }
    h.scheduler.run(1_500);
    assertThat(request(h).upstream).isEqualTo(a.upstream);
  }
}
