package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AccountAllotmentTest {

  private static final SpendingCeiling HIGH = new SpendingCeiling(1_000_000, 0, 0);

  private final AccountAllotment allotment = new AccountAllotment();

  @Test
  void reservesOnlyDrawnTokens() {
    assertThat(allotment.tryReserve(1, 0, 0)).isFalse();
    allotment.beginChange(100, HIGH);
    assertThat(allotment.tryReserve(1, 0, 0)).isFalse();
    allotment.resolveChanges(100, HIGH);
    assertThat(allotment.tryReserve(100, 0, 0)).isTrue();
    assertThat(allotment.free()).isZero();
  }

  @Test
  void settlesToTheUsedTokens() {
    allotment.resolveChanges(100, HIGH);
    assertThat(allotment.tryReserve(80, 0, 0)).isTrue();
    allotment.settle(80, 30);
    assertThat(allotment.free()).isEqualTo(70);
    assertThat(allotment.spent()).isEqualTo(30);
    assertThat(allotment.requests()).isEqualTo(1);
    assertThatThrownBy(() -> allotment.settle(1, 2)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void assumesTheSmallestResultOfUnresolvedChanges() {
    allotment.resolveChanges(100, HIGH);
    allotment.beginChange(-60, HIGH);
    allotment.beginChange(50, HIGH);
    assertThat(allotment.free()).isEqualTo(40);
  }

  /** Guards against consuming tokens that a successor would count as unspent. */
  @Test
  void reservesNoMoreThanTheDeclaredCeilingAllows() {
    allotment.resolveChanges(1_000, new SpendingCeiling(300, 0.1, 9_000));
    assertThat(allotment.tryReserve(301, 0, 5_000)).isFalse();
    assertThat(allotment.tryReserve(300, 0, 5_000)).isTrue();
    assertThat(allotment.tryReserve(1, 0, 9_000)).isFalse();
    assertThat(allotment.tryReserve(400, 0, 12_990)).isFalse();
    assertThat(allotment.tryReserve(400, 0, 13_000)).isTrue();
  }

  /** Guards against applying a ceiling whose write may have been lost. */
  @Test
  void appliesTheLowestCeilingThatTheStoreMayHold() {
    allotment.resolveChanges(1_000, new SpendingCeiling(100, 0, 0));
    allotment.beginChange(0, new SpendingCeiling(500, 0, 0));
    assertThat(allotment.allowedByCeiling(0)).isEqualTo(100);
    allotment.beginChange(0, new SpendingCeiling(50, 0, 0));
    assertThat(allotment.allowedByCeiling(0)).isEqualTo(50);
    allotment.resolveChanges(1_000, new SpendingCeiling(500, 0, 0));
    assertThat(allotment.allowedByCeiling(0)).isEqualTo(500);
  }

  @Test
  void ceilingsCoverWaitingRequestsAndFollowTheDemand() {
    allotment.resolveChanges(1_000_000, HIGH);
    for (int i = 0; i < 10; i++) {
      assertThat(allotment.tryReserve(1_000, 1_000L * i, 0)).isTrue();
      allotment.settle(1_000, 1_000);
    }
    SpendingCeiling next = allotment.nextCeiling(1_000, 10_000, 50_000);
    assertThat(next.at(50_000)).isBetween(15_500L, 16_500L);
    assertThat(next.at(60_000) - next.at(50_000)).isBetween(10_000L, 25_000L);
    assertThat(allotment.needsCeiling(0, 2_000, 10_000, 0)).isTrue();
    allotment.resolveChanges(1_000_000, next);
    assertThat(allotment.tryReserve(1_000, 10_000, 50_000)).isTrue();
    assertThat(allotment.needsCeiling(0, 2_000, 10_000, 50_000)).isFalse();
    assertThat(allotment.needsCeiling(0, 2_000, 12_001, 52_001)).isTrue();
    assertThat(allotment.needsCeiling(10_000, 2_000, 10_000, 50_000)).isTrue();
  }

  /**
   * Guards against a new incarnation that returns all tokens and draws them again for its first
   * requests.
   */
  @Test
  void initiallyWantsWhatItsPredecessorWanted() {
    allotment.inheritFrom(500, 3, 7_000, 1_000);
    assertThat(allotment.wanted(1_000)).isEqualTo(7_000);
    assertThat(allotment.wanted(60_000)).isZero();
    assertThat(allotment.spent()).isEqualTo(500);
  }

  /** Guards against a forecast that includes the time before the first request of an account. */
  @Test
  void measuresDemandFromTheFirstRequestOn() {
    allotment.resolveChanges(100_000, HIGH);
    for (int i = 0; i < 10; i++) {
      assertThat(allotment.tryReserve(1_000, 60_000 + 1_000L * i, 0)).isTrue();
      allotment.settle(1_000, 1_000);
    }
    long tokensPerMilli = 1;
    assertThat(allotment.wanted(70_000))
        .isGreaterThanOrEqualTo(tokensPerMilli * AccountAllotment.HOLD_AHEAD_MILLIS);
  }
}
