package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RejectionTolerance;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.junit.jupiter.api.Test;

class BrittleRoomsTest {

  private static final int SLOTS = 4;

  private static UpstreamNotice notice(String tolerance, boolean isFull) {
    return new UpstreamNotice(
        new RequestLimit.Unlimited(),
        false,
        new PauseRequest.None(),
        RejectionTolerance.parse(Optional.ofNullable(tolerance)),
        isFull);
  }

  private static ForwardHarness harness(int upstreams) {
    ForwardHarness h = new ForwardHarness(RetryPolicy.ONCE, false, 2, upstreams);
    for (int i = 0; i < upstreams; i++) {
      request(h).listener.onNotice(notice(i == 0 ? "2" : null, false));
    }
    h.sent.forEach(s -> s.respond(200, "ok"));
    h.sent.clear();
    return h;
  }

  private static ForwardHarness.Sent request(ForwardHarness h) {
    h.serve(ForwardHarness.plain("/a/x", "key"));
    return h.sent.isEmpty() ? null : h.last();
  }

  /** Guards against requests that wait, or come back together, when there is no room. */
  @Test
  void refusesAtOnceWhatHasNoRoomAndSpreadsTheTimesToComeBack() {
    ForwardHarness h = harness(1);
    List<Long> times = new ArrayList<>();
    for (int i = 0; i < SLOTS + 3; i++) {
      request(h);
      if (h.refusal != null) {
        assertThat(h.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
        times.add(h.scheduler.nowMillis() + h.refusal.retryAfterMillis());
      }
    }
    assertThat(h.sent).hasSize(SLOTS);
    assertThat(times).hasSize(3).isSorted().doesNotHaveDuplicates();
    assertThat(h.outcome()).contains("are brittle and have no room");
    h.last().listener.onNotice(notice(null, false));
    h.last().respond(200, "ok");
    request(h);
    request(h);
    assertThat(h.sent).as("after the end of brittleness").hasSize(SLOTS + 2);
  }

  /** Guards against requests that are refused although another upstream has room. */
  @Test
  void sendsToOtherUpstreamsWhileBrittleOnesAreFull() {
    ForwardHarness h = harness(2);
    for (int i = 0; i < 4 * SLOTS; i++) {
      request(h);
    }
    assertThat(h.refusal).isNull();
    assertThat(h.sent.stream().filter(s -> s.upstream.id().equals("u0"))).hasSize(SLOTS);
  }

  /** Guards against further rejections within a second, and a pause without a line in the log. */
  @Test
  void pausesAfterRejection() {
    ForwardHarness h = harness(1);
    ForwardHarness.Sent s = request(h);
    s.listener.onNotice(notice("2", true));
    s.fail(AttemptOutcome.NOT_EXECUTED);
    assertThat(h.logLines).anyMatch(l -> Long.valueOf(1_100).equals(l.get("pause_ms")));
    h.scheduler.run(1_000);
    request(h);
    assertThat(h.sent).hasSize(1);
    h.scheduler.run(100);
    request(h);
    assertThat(h.sent).hasSize(2);
  }

  /** Guards against more prompts than fit into the memory of an upstream. */
  @Test
  void keepsToTheMemoryOfTheUpstream() {
    ForwardHarness h = harness(1);
    h.current =
        new ForwardingTable(
            8,
            h.current.limits(),
            List.of(h.current.route("h", "/a/x").orElseThrow()),
            List.of(new ForwardService("s", 10, SLOTS, 3_000, 5)),
            h.current.accounts(),
            Map.of("key", ForwardHarness.ACCOUNT));
    for (int i = 0; i < SLOTS; i++) {
      h.serve(ForwardHarness.prompt(1_000, 1));
    }
    assertThat(h.sent).hasSize(2);
  }

  /** Guards against a number that can't be read and is taken for none or zero. */
  @Test
  void logsAndIgnoresWhatCannotBeRead() {
    ForwardHarness h = harness(1);
    request(h).listener.onNotice(notice("two", false));
    assertThat(h.logLines)
        .anyMatch(l -> "invalid: two".equals(l.get("rejections_per_second")))
        .anyMatch(l -> "2".equals(l.get("rejections_per_second")));
    for (int i = 0; i < SLOTS; i++) {
      request(h);
    }
    assertThat(h.sent).hasSize(SLOTS);
  }
}
