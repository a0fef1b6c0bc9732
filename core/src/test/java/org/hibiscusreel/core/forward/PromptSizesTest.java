package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PromptSizesTest {

  private final PromptSizes sizes = new PromptSizes();

  @Test
  void ranksPromptAmongRecentOnes() {
    assertThat(sizes.rank(1)).isEqualTo(1);
    for (int i = 1; i <= 100; i++) {
      sizes.add(i * 10L);
    }
    assertThat(sizes.rank(5)).isZero();
    assertThat(sizes.rank(500)).isEqualTo(0.5);
    assertThat(sizes.rank(5_000)).isEqualTo(1);
  }

  /** Guards against sizes of long ago that decide about present requests. */
  @Test
  void forgetsOldPrompts() {
    for (int i = 0; i < PromptSizes.CAPACITY; i++) {
      sizes.add(1_000_000);
    }
    for (int i = 0; i < PromptSizes.CAPACITY; i++) {
      sizes.add(10);
    }
    assertThat(sizes.rank(10)).isEqualTo(1);
  }
}
