package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscusreel.core.forward.AttemptPolicy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptPolicyTest {

  private static boolean mayRetry(State state, AttemptOutcome outcome) {
    return AttemptPolicy.mayRetry(state, outcome, () -> true);
  }

  @ParameterizedTest
  @CsvSource({
    "ONCE,NOT_SENT,true",
    "ONCE,NOT_EXECUTED,true",
    "ONCE,FAILED,false",
    "ONCE,BROKEN,false",
    "ONCE,SILENT,false",
    "REPEATABLE,FAILED,true",
    "REPEATABLE,BROKEN,true",
    "RESUMABLE,BROKEN,true",
    "RESUMABLE,SILENT,true"
  })
  void repeatsWhatMayHaveRunOnlyIfItMayRunAgain(
      Repetition repetition, AttemptOutcome outcome, boolean expected) {
    assertThat(mayRetry(new State(repetition, 2, 1, 0, 1_000), outcome)).isEqualTo(expected);
  }

  @Test
  void sendsToNoMoreUpstreamsThanTheRouteAllows() {
    assertThat(mayRetry(new State(Repetition.REPEATABLE, 2, 2, 0, 1_000), AttemptOutcome.BROKEN))
        .isFalse();
  }

  @Test
  void givesUpWhenTimeIsAlmostOver() {
    long left = AttemptPolicy.MIN_MILLIS_LEFT - 1;
    assertThat(mayRetry(new State(Repetition.REPEATABLE, 2, 1, 0, left), AttemptOutcome.BROKEN))
        .isFalse();
  }

  /** Guards against an endless search while all upstreams are unreachable. */
  @Test
  void boundsAttemptsThatOpenNoConnection() {
    int most = AttemptPolicy.MAX_UNSENT;
    assertThat(mayRetry(new State(Repetition.ONCE, 1, 0, 1, 1_000), AttemptOutcome.NOT_SENT))
        .isTrue();
    assertThat(mayRetry(new State(Repetition.ONCE, 1, 0, most, 1_000), AttemptOutcome.NOT_SENT))
        .isFalse();
  }

  /** Guards against a retry budget that pays for attempts no upstream saw. */
  @Test
  void takesFromTheRetryBudgetOnlyWhatUpstreamsSeeAsRepeated() {
    State first = new State(Repetition.ONCE, 1, 0, 1, 1_000);
    assertThat(AttemptPolicy.mayRetry(first, AttemptOutcome.NOT_SENT, () -> false)).isTrue();
    State second = new State(Repetition.REPEATABLE, 2, 1, 0, 1_000);
    assertThat(AttemptPolicy.mayRetry(second, AttemptOutcome.BROKEN, () -> false)).isFalse();
  }
}
