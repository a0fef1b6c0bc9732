package org.hibiscusreel.core.config;

import java.util.Objects;

/**
 * Error in a configuration.
 *
 * @param path dotted path of the key, empty if the error concerns the whole document
 * @param message description of the error
 */
public record ConfigurationError(String path, String message) {

  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
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
