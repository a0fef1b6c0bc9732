package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AccountAllotmentTest {

  private final AccountAllotment allotment = new AccountAllotment();

  @Test
  void reservesOnlyWhatIsDrawn() {
    assertThat(allotment.tryReserve(1, 0)).isFalse();
    allotment.begin(100);
    assertThat(allotment.tryReserve(1, 0)).isFalse();
    allotment.resolve(100);
    assertThat(allotment.tryReserve(100, 0)).isTrue();
    assertThat(allotment.free()).isZero();
  }

  @Test
  void settlesToWhatWasUsed() {
    allotment.resolve(100);
    assertThat(allotment.tryReserve(80, 0)).isTrue();
    allotment.settle(80, 30);
    assertThat(allotment.free()).isEqualTo(70);
    assertThat(allotment.spent()).isEqualTo(30);
    assertThat(allotment.requests()).isEqualTo(1);
    assertThatThrownBy(() -> allotment.settle(1, 2)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void countsTheLeastThatUnresolvedChangesMayLeave() {
    allotment.resolve(100);
    allotment.begin(-60);
    allotment.begin(50);
    assertThat(allotment.free()).isEqualTo(40);
  }

  @Test
  void holdsNoMoreThanItsShareOfTheUndrawnTokens() {
    allotment.resolve(1_000);
    for (int i = 0; i < 10; i++) {
      assertThat(allotment.tryReserve(100, 1_000L * i)).isTrue();
      allotment.settle(100, 100);
    }
    assertThat(allotment.wantedChange(1_000_000, 0, 10, 10_000)).isPositive();
    assertThat(allotment.wantedChange(2_000, 0, 10, 10_000)).isBetween(0L, 100L);
  }

  /** Guards against a forecast that counts the time before an account's first request. */
  @Test
  void holdsTheDemandSinceTheFirstRequest() {
    allotment.resolve(100_000);
    for (int i = 0; i < 10; i++) {
      assertThat(allotment.tryReserve(1_000, 60_000 + 1_000L * i)).isTrue();
      allotment.settle(1_000, 1_000);
    }
    allotment.resolve(10_000);
    long perMilli = 1;
    assertThat(allotment.wantedChange(10_000_000, 0, 4, 70_000))
        .isGreaterThanOrEqualTo(perMilli * AccountAllotment.HOLD_AHEAD_MILLIS);
  }

  @Test
  void givesBackAllThatIsFreeOfBudgetsThatWereCut() {
    allotment.resolve(1_000);
    assertThat(allotment.tryReserve(300, 0)).isTrue();
    assertThat(allotment.wantedChange(-1, 0, 4, 0)).isEqualTo(-700);
  }
}
