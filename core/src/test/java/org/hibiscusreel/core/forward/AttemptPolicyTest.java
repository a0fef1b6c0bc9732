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
  void retriesRequestThatMayHaveRunOnlyIfRepeatable(
      RetryPolicy retryPolicy, AttemptOutcome outcome, boolean expected) {
    assertThat(mayRetry(new State(retryPolicy, 2, 1, 0, 1_000), outcome)).isEqualTo(expected);
  }

  @Test
  void respectsMaxAttempts() {
    assertThat(mayRetry(new State(RetryPolicy.REPEATABLE, 2, 2, 0, 1_000), AttemptOutcome.BROKEN))
        .isFalse();
  }

  @Test
  void doesNotRetryJustBeforeTheDeadline() {
    long remainingMillis = AttemptPolicy.MIN_REMAINING_MILLIS - 1;
    assertThat(
            mayRetry(
                new State(RetryPolicy.REPEATABLE, 2, 1, 0, remainingMillis), AttemptOutcome.BROKEN))
        .isFalse();
  }

  /** Guards against endless connection attempts while all upstreams are unreachable. */
  @Test
  void boundsAttemptsThatOpenNoConnection() {
    int maxUnsent = AttemptPolicy.MAX_UNSENT_ATTEMPTS;
    assertThat(mayRetry(new State(RetryPolicy.ONCE, 1, 0, 1, 1_000), AttemptOutcome.NOT_SENT))
        .isTrue();
    assertThat(
            mayRetry(new State(RetryPolicy.ONCE, 1, 0, maxUnsent, 1_000), AttemptOutcome.NOT_SENT))
        .isFalse();
  }

  /** Guards against charging the retry budget for attempts that no upstream received. */
  @Test
  void chargesRetryBudgetOnlyIfAnUpstreamReceivedTheRequest() {
    State first = new State(RetryPolicy.ONCE, 1, 0, 1, 1_000);
    assertThat(AttemptPolicy.mayRetry(first, AttemptOutcome.NOT_SENT, () -> false)).isTrue();
    State second = new State(RetryPolicy.REPEATABLE, 2, 1, 0, 1_000);
    assertThat(AttemptPolicy.mayRetry(second, AttemptOutcome.BROKEN, () -> false)).isFalse();
  }

  /** Guards against two retries taken from the budget of which only one reaches an upstream. */
  @Test
  void takesNoFurtherRetryAfterOneThatOpenedNoConnection() {
    State retried = new State(RetryPolicy.REPEATABLE, 2, 1, 1, 1_000);
    assertThat(AttemptPolicy.mayRetry(retried, AttemptOutcome.NOT_SENT, () -> false)).isTrue();
  }
}
