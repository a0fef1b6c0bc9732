package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AllotmentShareTest {

  private static final double MEAN_SIZE_TOKENS = 10;

  private static AllotmentShare.Account account(long undrawn, long uncommitted, long wantedByAll) {
    return new AllotmentShare.Account(undrawn, uncommitted, 1_000, wantedByAll);
  }

  @Test
  void holdsTheWantedTokensWhileTheBudgetSuffices() {
    assertThat(AllotmentShare.target(account(50_000, 50_000, 8_000), MEAN_SIZE_TOKENS))
        .isEqualTo(1_000);
  }

  /** Guards against a busy daemon running out of tokens while idle daemons hold equal shares. */
  @Test
  void sharesScarceBudgetInProportionToDemand() {
    assertThat(AllotmentShare.target(account(2_000, 4_000, 4_000), MEAN_SIZE_TOKENS))
        .isEqualTo(850);
    AllotmentShare.Account idle = new AllotmentShare.Account(2_000, 4_000, 100, 4_000);
    assertThat(AllotmentShare.target(idle, MEAN_SIZE_TOKENS)).isEqualTo(85);
  }

  /**
   * Guards against splitting the remaining tokens into shares that are too small for any request.
   */
  @Test
  void holdsNoShareSmallerThanMeanRequest() {
    assertThat(AllotmentShare.target(account(50, 60, 8_000), MEAN_SIZE_TOKENS)).isZero();
  }

  @Test
  void drawsTokensForWaitingRequestsAndTheTarget() {
    AllotmentShare.Account largeBudget = account(50_000, 50_000, 1_000);
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 0, 3_000)).isEqualTo(4_000);
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 700, 0)).isEqualTo(300);
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 900, 0)).isZero();
    assertThat(AllotmentShare.change(account(10, 50_000, 1_000), MEAN_SIZE_TOKENS, 0, 0))
        .isEqualTo(10);
  }

  @Test
  void returnsTokensAboveItsShare() {
    AllotmentShare.Account largeBudget = account(50_000, 50_000, 1_000);
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 1_300, 0)).isZero();
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 2_000, 0)).isEqualTo(-1_000);
    assertThat(AllotmentShare.change(largeBudget, MEAN_SIZE_TOKENS, 2_000, 900)).isZero();
  }

  @Test
  void returnsAllFreeTokensOfReducedBudgets() {
    assertThat(AllotmentShare.change(account(-1, 50_000, 1_000), MEAN_SIZE_TOKENS, 700, 0))
        .isEqualTo(-700);
    assertThat(AllotmentShare.change(account(-1, 50_000, 1_000), MEAN_SIZE_TOKENS, -5, 0)).isZero();
  }
}
