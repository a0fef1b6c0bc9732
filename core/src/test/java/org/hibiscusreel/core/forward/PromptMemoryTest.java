package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptMemoryTest {

  private static final long MEMORY = 1_000;

  private final PromptMemory memory = new PromptMemory();

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
  void keepsSharedPartsOnly() {
    memory.onSent(prompt("a", "b"), MEMORY);
    assertThat(memory.kept(prompt("a", "b"))).isEqualTo(200);
    assertThat(memory.kept(prompt("a", "x"))).isEqualTo(100);
  }

  /** Guards against counting a part that is read again because one before it is. */
  @Test
  void countsPartsOnlyBehindKeptOnes() {
    memory.onSent(prompt("a", "b"), MEMORY);
    assertThat(memory.kept(prompt("x", "b"))).isZero();
  }

  @Test
  void forgetsTheLeastRecentlyUsedParts() {
    memory.onSent(prompt("a", "b"), MEMORY);
    memory.onSent(prompt("c", "d"), MEMORY);
    memory.onSent(prompt("a", "b"), MEMORY);
    memory.onSent(prompt("e", "f"), MEMORY);
    assertThat(memory.kept(prompt("c", "d"))).isZero();
    assertThat(memory.kept(prompt("a", "b"))).isEqualTo(200);
  }
}
