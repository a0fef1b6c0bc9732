package org.hibiscusreel.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SpendingCeilingTest {

  private final SpendingCeiling ceiling = new SpendingCeiling(1_000, 2, 50_000, 4_000);

  @Test
  void staysSteadyBeforeItRises() {
    assertThat(ceiling.at(40_000)).isEqualTo(1_000);
    assertThat(ceiling.at(50_000)).isEqualTo(1_000);
    assertThat(ceiling.at(54_000)).isEqualTo(1_000);
  }

  /** Guards against a jump that allows the rise of the whole steady time at its end. */
  @Test
  void risesWithoutJumpAfterItsSteadyTime() {
    assertThat(ceiling.at(54_001)).isEqualTo(1_002);
    assertThat(ceiling.at(55_000)).isEqualTo(3_000);
    assertThat(ceiling.at(60_000)).isEqualTo(13_000);
  }
}
