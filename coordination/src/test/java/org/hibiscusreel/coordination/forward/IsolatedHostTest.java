package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a host that takes its own failed path for failed upstreams: it would avoid sound
 * upstreams, give requests up that can go through another daemon, or leave them at silent ones.
 */
class IsolatedHostTest {

  private final ForwardHarness harness = new ForwardHarness(RetryPolicy.RESUMABLE, true, 2, 2);

  @Test
  void refusesAtOnceWithoutPath() {
    harness.hasPath = false;
    harness.serve(ForwardHarness.prompt("p"));
    assertThat(harness.sent).isEmpty();
    assertThat(harness.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
    assertThat(harness.refusal.retryAfterMillis()).isPositive();
  }

  @Test
  void endsRequestThatLosesItsPath() {
    harness.serve(ForwardHarness.prompt("p"));
    harness.hasPath = false;
    harness.last().fail(AttemptOutcome.NO_PATH);
    assertThat(harness.sent).hasSize(1);
    assertThat(harness.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
  }

  @Test
  void offersRequestAgainToUpstreamsThatWereNotReached() {
    harness.serve(ForwardHarness.prompt("p"));
    harness.last().fail(AttemptOutcome.NOT_SENT);
    harness.last().fail(AttemptOutcome.NO_PATH);
    harness.last().respond(200, "id: 1\ndata: x\n\n");
    assertThat(harness.sent).hasSize(3);
    assertThat(harness.callerEvents).contains("end");
  }

  /** The first event may be awaited without a bound at a sound upstream. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void movesSilentStreamOnlyIfPathWasLost(boolean isIsolated) {
    harness.serve(ForwardHarness.prompt("p"));
    harness.isIsolated = isIsolated;
    harness.scheduler.run(1_100 + ForwardTask.ACCEPTANCE_MILLIS);
    assertThat(harness.sent.get(0).cancelled).isEqualTo(isIsolated);
    assertThat(harness.sent).hasSize(isIsolated ? 2 : 1);
    harness.scheduler.run(550);
    assertThat(harness.last().cancelled).isFalse();
  }

  /** A request that was first sent directly may reach its upstream through a relay. */
  @Test
  void leavesSilentStreamThatIsRelayed() {
    harness.serve(ForwardHarness.prompt("p"));
    harness.last().isRelayed = true;
    harness.isIsolated = true;
    harness.scheduler.run(1_100);
    assertThat(harness.last().cancelled).isFalse();
  }
}
