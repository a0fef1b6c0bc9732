package org.hibiscusreel.core.config;

import java.util.List;

/** Outcome of reading a configuration tree. */
public sealed interface ConfigurationResult {

  /**
   * The tree is valid.
   *
   * @param configuration the configuration
   */
  record Valid(Configuration configuration) implements ConfigurationResult {}

  /**
   * The tree is not valid.
   *
   * @param errors all errors found, at least one
   */
  record Invalid(List<ConfigurationError> errors) implements ConfigurationResult {

    /** Copies the list. */
    public Invalid {
      errors = List.copyOf(errors);
    }
  }
}
