package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimateTest {

  private static final long CAPACITY_TOKENS = 1_000;

  private final PrefixCacheEstimate memory = new PrefixCacheEstimate();

  private static PromptShape prompt(String first, String second) {
    return new PromptShape(
        300,
        10,
        List.of(
            new PromptShape.Part(first, 100),
            new PromptShape.Part(second, 100),
            new PromptShape.Part("own", 100)));
  }

  @Test
  void cachesSharedPartsOnly() {
    memory.recordPrompt(prompt("a", "b"), CAPACITY_TOKENS);
    assertThat(memory.cachedTokens(prompt("a", "b"))).isEqualTo(200);
    assertThat(memory.cachedTokens(prompt("a", "x"))).isEqualTo(100);
  }

  /** Guards against counting a part as cached although a preceding part must be prefilled again. */
  @Test
  void countsPartsOnlyAfterCachedOnes() {
    memory.recordPrompt(prompt("a", "b"), CAPACITY_TOKENS);
    assertThat(memory.cachedTokens(prompt("x", "b"))).isZero();
  }

  @Test
  void evictsTheLeastRecentlyUsedParts() {
    memory.recordPrompt(prompt("a", "b"), CAPACITY_TOKENS);
    memory.recordPrompt(prompt("c", "d"), CAPACITY_TOKENS);
    memory.recordPrompt(prompt("a", "b"), CAPACITY_TOKENS);
    memory.recordPrompt(prompt("e", "f"), CAPACITY_TOKENS);
    assertThat(memory.cachedTokens(prompt("c", "d"))).isZero();
    assertThat(memory.cachedTokens(prompt("a", "b"))).isEqualTo(200);
  }
}
