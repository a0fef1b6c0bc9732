package org.hibiscusreel.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MonotonicTimeProviderTest {

  @Test
  void beginsAtTheTimeOfDayAndNeverGoesBack() {
    long before = System.currentTimeMillis();
    MonotonicTimeProvider time = new MonotonicTimeProvider();
    long last = time.currentTimeMillis();
    assertThat(last).isGreaterThanOrEqualTo(before);
    for (int i = 0; i < 1_000; i++) {
      long now = time.currentTimeMillis();
      assertThat(now).isGreaterThanOrEqualTo(last);
      last = now;
    }
  }
}
