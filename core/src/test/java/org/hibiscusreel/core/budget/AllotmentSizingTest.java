package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AllotmentSizingTest {

  /** Guards against allotments that do not last for the outage that the budget tolerates. */
  @Test
  void targetCoversTheOutageAndTwoWorstCases() {
    assertThat(AllotmentSizing.target(0.5, AllotmentPolicy.STRICT, 10)).isEqualTo(150_000);
    assertThat(AllotmentSizing.target(0.5, AllotmentPolicy.OPEN, 10)).isEqualTo(1_800_000);
    assertThat(AllotmentSizing.target(0, AllotmentPolicy.OPEN, 10)).isEqualTo(20);
  }

  /** Guards against one failure domain drawing the tokens that the others need. */
  @Test
  void drawsFractionOfUndrawnTokensUnlessMoreAreNeeded() {
    assertThat(AllotmentSizing.draw(1_000, 0, 10, 400, 3)).isEqualTo(100);
    assertThat(AllotmentSizing.draw(1_000, 0, 300, 400, 3)).isEqualTo(300);
    assertThat(AllotmentSizing.draw(1_000, 0, 500, 400, 3)).isEqualTo(400);
    assertThat(AllotmentSizing.draw(50, 20, 0, 400, 3)).isEqualTo(55);
    assertThat(AllotmentSizing.draw(50, 75, 0, 400, 3)).isZero();
  }

  /** Guards against a write every few seconds for a nearly exhausted budget. */
  @Test
  void skipsSmallRefills() {
    assertThat(AllotmentSizing.draw(1_000, 200, 0, 400, 3)).isEqualTo(100);
    assertThat(AllotmentSizing.draw(1_000, 202, 0, 400, 3)).isZero();
    assertThat(AllotmentSizing.draw(1_000, 202, 10, 400, 3)).isEqualTo(100);
  }

  /**
   * Guards against alternately returning and drawing the same tokens, and against an allotment
   * below its target at the start of an outage.
   */
  @Test
  void keepsTheTargetAndReturnsTokensOnlyAboveTwiceTheTarget() {
    assertThat(AllotmentSizing.surplus(100, 200)).isZero();
    assertThat(AllotmentSizing.surplus(100, 201)).isEqualTo(51);
    assertThat(AllotmentSizing.isLow(100, 100)).isFalse();
    assertThat(AllotmentSizing.isLow(100, 99)).isTrue();
  }

  /** Guards against a forecast that deviates from constant demand or decays too slowly. */
  @Test
  void forecastFollowsTheDemand() {
    DemandForecast forecast = new DemandForecast(0);
    for (long now = 0; now <= 60_000; now += 100) {
      forecast.add(200, now);
    }
    assertThat(forecast.tokensPerMilli(60_000)).isBetween(1.8, 2.2);
    assertThat(forecast.tokensPerMilli(3_600_000)).isLessThan(0.001);
  }
}
