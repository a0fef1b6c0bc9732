package org.hibiscusreel.core.config;

import java.util.Objects;

/**
 * Difference between two configurations at one path.
 *
 * @param path dotted path of the key
 * @param before textual value before the change, empty if the key was absent
 * @param after textual value after the change, empty if the key is absent
 */
public record ConfigurationChange(String path, String before, String after) {

  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
   */
  public ConfigurationChange {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(before, "before");
    Objects.requireNonNull(after, "after");
  }

  @Override
  public String toString() {
    if (before.isEmpty()) {
      return "+ " + path + " = " + after;
    }
    if (after.isEmpty()) {
      return "- " + path + " = " + before;
    }
    return "~ " + path + " = " + before + " -> " + after;
  }
}
