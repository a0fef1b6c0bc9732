package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SpendingCeilingTest {

  private final SpendingCeiling ceiling = new SpendingCeiling(1_000, 2, 54_000);

  @Test
  void staysSteadyBeforeItRises() {
    assertThat(ceiling.at(40_000)).isEqualTo(1_000);
    assertThat(ceiling.at(50_000)).isEqualTo(1_000);
    assertThat(ceiling.at(54_000)).isEqualTo(1_000);
  }

  /** Guards against a jump at the time from which the bound rises. */
  @Test
  void risesWithoutJump() {
    assertThat(ceiling.at(54_001)).isEqualTo(1_002);
    assertThat(ceiling.at(55_000)).isEqualTo(3_000);
    assertThat(ceiling.at(60_000)).isEqualTo(13_000);
  }

  /** Guards against a bound that becomes negative after a steep rise. */
  @Test
  void doesNotOverflow() {
    long most = 1_000_000_000_000_000L;
    assertThat(new SpendingCeiling(1_000, most, 0).at(60_000)).isGreaterThanOrEqualTo(most);
  }
}
