package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AllotmentShareTest {

  private static final double MEAN_SIZE_TOKENS = 10;

  private static AllotmentShare.Account account(long undrawn, long uncommitted, long wantedByAll) {
    return new AllotmentShare.Account(undrawn, uncommitted, 1_000, wantedByAll, 1);
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
    AllotmentShare.Account idle = new AllotmentShare.Account(2_000, 4_000, 100, 4_000, 1);
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
  }

  /** Guards against the last tokens being held by one daemon while requests wait on others. */
  @Test
  void drawsReserveOnlyForWaitingRequests() {
    AllotmentShare.Account reserveLeft = account(10, 50_000, 1_000);
    assertThat(AllotmentShare.change(reserveLeft, MEAN_SIZE_TOKENS, 0, 0)).isZero();
    assertThat(AllotmentShare.change(reserveLeft, MEAN_SIZE_TOKENS, 0, 10)).isEqualTo(10);
    assertThat(AllotmentShare.change(account(7_600, 50_000, 1_000), MEAN_SIZE_TOKENS, 0, 0))
        .isEqualTo(100);
  }

  /** Guards against a few of many daemons that hold all tokens before the others need some. */
  @Test
  void drawsPartOfTheSpareTokensInLargeFleets() {
    AllotmentShare.Account large = new AllotmentShare.Account(9_100, 10_000, 8_000, 8_000, 96);
    assertThat(AllotmentShare.change(large, MEAN_SIZE_TOKENS, 0, 0)).isEqualTo(475);
    assertThat(AllotmentShare.change(large, MEAN_SIZE_TOKENS, 0, 1_000)).isEqualTo(1_412);
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
