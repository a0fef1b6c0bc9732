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

  /** Guards against taking the time of a late response for the time of the start. */
  @Test
  void boundsTheTimeOfTheFirstCallByTheFirstWriteThatIsAnswered() {
    clock.beginCall();
    assertThat(clock.firstCallMillis()).isEqualTo(Long.MAX_VALUE);
    steady += 3_000;
    long calledAt = clock.beginCall();
    steady += 40;
    clock.observeWrite(13_010, calledAt);
    assertThat(clock.firstCallMillis()).isEqualTo(10_010);
    clock.observeWrite(20_000, clock.beginCall());
    assertThat(clock.firstCallMillis()).isEqualTo(10_010);
    assertThat(clock.millis()).isEqualTo(20_000);
  }

  /** Guards against a bound from a read, which the store may answer from an earlier state. */
  @Test
  void doesNotBoundTheTimeOfTheFirstCallByReads() {
    clock.beginCall();
    clock.observe(10_000);
    clock.observeWrite(0, clock.beginCall());
    assertThat(clock.firstCallMillis()).isEqualTo(Long.MAX_VALUE);
  }
}
