package org.hibiscusreel.core.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  /** Guards against a retry storm when every request fails and is due for a retry. */
  @Test
  void limitsRetriesToTenPercentOfTheRequests() {
    RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_BURST);
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isBetween(990, 1_010);
    assertThatThrownBy(() -> new RetryBudget(2, 1)).isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against a question for a retry that takes the retry. */
  @Test
  void tellsWhetherRetryIsLeftWithoutTakingIt() {
    RetryBudget budget = new RetryBudget(0, 1);
    assertThat(budget.hasRetry()).isTrue();
    assertThat(budget.hasRetry()).isTrue();
    assertThat(budget.tryRetry()).isTrue();
    assertThat(budget.hasRetry()).isFalse();
  }
}
