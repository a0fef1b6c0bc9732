package org.hibiscusreel.coordination.config;

import java.util.Optional;
import java.util.function.Consumer;
import org.hibiscusreel.core.config.Configuration;

/** The configuration in force at this daemon. Its version never goes back. */
public interface ConfigurationView {

  /**
   * Returns the configuration in force.
   *
   * @return the configuration of this site, or empty before the first was found
   */
  Optional<Configuration> current();

  /**
   * Adds a listener that is called on the event loop with each new configuration, and at once with
   * the present one if there is one.
   *
   * @param listener the listener
   */
  void addListener(Consumer<Configuration> listener);
}
