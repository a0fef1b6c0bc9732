package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefillRateTest {

  private final PrefillRate rate = new PrefillRate();

  /** Guards against requests that are refused before anything is known. */
  @Test
  void expectsNothingWithoutObservations() {
    assertThat(rate.expectedMillis(1_000_000)).isEmpty();
    rate.add(0, 10);
    assertThat(rate.expectedMillis(1_000_000)).isEmpty();
  }

  @Test
  void followsTheObservedRate() {
    rate.add(5_000, 100);
    assertThat(rate.expectedMillis(20_000)).hasValue(400);
    for (int i = 0; i < 200; i++) {
      rate.add(10_000, 1_000);
    }
    assertThat(rate.expectedMillis(20_000).orElseThrow()).isBetween(1_990L, 2_010L);
  }
}
