package org.hibiscusreel.core.config;

import java.util.Objects;

/**
 * A difference between two configurations at one path.
 *
 * @param path dotted path of the key
 * @param before value before as text, empty if the key was absent
 * @param after value after as text, empty if the key is absent
 */
public record ConfigurationChange(String path, String before, String after) {

  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
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
