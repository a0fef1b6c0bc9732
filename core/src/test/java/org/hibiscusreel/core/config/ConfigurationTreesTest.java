package org.hibiscusreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigurationTreesTest {

  /** Guards against an overlay that drops keys that it does not contain. */
  @Test
  void overlayChangesOnlyTheKeysItContains() {
    Map<String, Object> base =
        Map.of("serving", Map.of("worth", 1, "priority", 3), "sites", Map.of("a", Map.of()));
    Map<String, Object> overlay = Map.of("serving", Map.of("worth", 2));

    assertThat(ConfigurationTrees.merge(base, overlay))
        .isEqualTo(
            Map.of("serving", Map.of("worth", 2, "priority", 3), "sites", Map.of("a", Map.of())));
  }

  /** Guards against concatenating lists, with which an overlay could never remove an element. */
  @Test
  void overlayReplacesListsAndScalarValues() {
    assertThat(
            ConfigurationTrees.merge(
                Map.of("serves", List.of("a", "b"), "x", Map.of("y", 1)),
                Map.of("serves", List.of("c"), "x", 5)))
        .isEqualTo(Map.of("serves", List.of("c"), "x", 5));
  }

  @Test
  void listsDifferencesByPath() {
    Map<String, Object> before = Map.of("a", Map.of("b", 1, "c", "x"), "d.e", 1);
    Map<String, Object> after = Map.of("a", Map.of("b", 2, "f", List.of(1)), "d.e", 1);

    assertThat(ConfigurationTrees.difference(before, after))
        .extracting(ConfigurationChange::toString)
        .containsExactly("~ a.b = 1 -> 2", "- a.c = \"x\"", "+ a.f = [1]");
  }

  @Test
  void quotesKeysThatAreNotBare() {
    assertThat(ConfigurationTrees.flatten(Map.of("d.e", Map.of("f", true))))
        .containsExactly(Map.entry("\"d.e\".f", "true"));
  }
}
