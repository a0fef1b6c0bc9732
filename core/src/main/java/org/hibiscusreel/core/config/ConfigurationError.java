package org.hibiscusreel.core.config;

import java.util.Objects;

/**
 * A fault of a configuration.
 *
 * @param path dotted path of the key, empty if the fault concerns the whole document
 * @param message what is wrong
 */
public record ConfigurationError(String path, String message) {

  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
   */
  public ConfigurationError {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    return path.isEmpty() ? message : path + ": " + message;
  }
}
