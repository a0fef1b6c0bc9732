package org.hibiscusreel.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ObservedStoreClockTest {

  private long steady = 500;
  private final ObservedStoreClock clock = new ObservedStoreClock(() -> steady);

  @Test
  void returnsZeroBeforeTheFirstResponse() {
    assertThat(clock.millis()).isZero();
  }

  @Test
  void advancesBetweenResponses() {
    clock.observe(10_000);
    steady += 250;
    assertThat(clock.millis()).isEqualTo(10_250);
  }

  /** Guards against a time that goes backwards because of a delayed response. */
  @Test
  void ignoresDelayedResponses() {
    clock.observe(10_000);
    steady += 250;
    clock.observe(10_100);
    assertThat(clock.millis()).isEqualTo(10_250);
    clock.observe(10_300);
    assertThat(clock.millis()).isEqualTo(10_300);
  }
}
