package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.data.Percentage.withPercentage;

import org.junit.jupiter.api.Test;

class RequestDemandTest {

  private final RequestDemand demand = new RequestDemand(0);

  private void add(int requests, long size, long intervalMillis) {
    for (int i = 0; i < requests; i++) {
      demand.add(size, i * intervalMillis);
    }
  }

  @Test
  void estimatesTheRate() {
    add(200, 500, 100);
    assertThat(demand.tokensPerMilli(20_000)).isCloseTo(5, withPercentage(5));
    assertThat(demand.tokensPerMilli(200_000)).isLessThan(0.5);
  }

  /** Guards against holding only the mean demand, which a few large requests would exceed. */
  @Test
  void coversTheVarianceOfLargeRequests() {
    add(40, 100, 500);
    final long even = demand.coveringTokens(10_000, 20_000);
    RequestDemand uneven = new RequestDemand(0);
    for (int i = 0; i < 40; i++) {
      uneven.add(i % 20 == 0 ? 1_905 : 5, i * 500L);
    }
    assertThat(uneven.meanSize()).isCloseTo(demand.meanSize(), withPercentage(10));
    assertThat(uneven.coveringTokens(10_000, 20_000)).isGreaterThan(even * 3 / 2);
  }

  @Test
  void returnsZeroWithoutDemand() {
    assertThat(demand.coveringTokens(10_000, 5_000)).isZero();
    assertThat(demand.meanSize()).isZero();
  }
}
