package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class LinkUseTest {

  private static final double CAPACITY = 1_000_000;
  private static final long STEP_MILLIS = 50;

  private final LinkUse link = new LinkUse(CAPACITY);
  private long now = 10_000;

  private void run(long millis, double received, double sent) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      link.onReceived((long) (received * CAPACITY * STEP_MILLIS / 1_000), now);
      link.onSent((long) (sent * CAPACITY * STEP_MILLIS / 1_000), now);
    }
  }

  @Test
  void isNotOverloadedBelowTheLimit() {
    assertThat(link.isOverloaded(now)).isFalse();
    run(5_000, 0.6, 0.6);
    assertThat(link.isOverloaded(now)).isFalse();
  }

  @Test
  void isOverloadedWhenEitherDirectionExceedsTheLimit() {
    run(1_100, 0.8, 0.1);
    assertThat(link.isOverloaded(now)).isTrue();
    LinkUse other = new LinkUse(CAPACITY);
    other.onSent(1, 0);
    other.onSent(400_000, 100);
    assertThat(other.isOverloaded(LinkUse.WINDOW_MILLIS)).isTrue();
  }

  /** Guards against a daemon that takes its callers back at once and is congested again. */
  @Test
  void recoversOnlyAfterLowUse() {
    run(1_100, 0.9, 0.9);
    run(LinkUse.RECOVERY_MILLIS, 0.6, 0.6);
    assertThat(link.isOverloaded(now)).isTrue();
    run(LinkUse.RECOVERY_MILLIS - 1_000, 0.1, 0.1);
    assertThat(link.isOverloaded(now)).isTrue();
    run(2_000, 0.1, 0.1);
    assertThat(link.isOverloaded(now)).isFalse();
  }

  @Test
  void rejectsCapacityThatIsNotPositive() {
    assertThatThrownBy(() -> new LinkUse(0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new LinkUse(Double.NaN)).isInstanceOf(IllegalArgumentException.class);
  }
}
