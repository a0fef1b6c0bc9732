package org.hibiscusreel.coordination.config;

import java.util.Optional;
import java.util.function.Consumer;
import org.hibiscusreel.core.config.Configuration;

/** View of the configuration in force at this daemon. Its version never decreases. */
public interface ConfigurationView {

  /**
   * Returns the configuration in force.
   *
   * @return the configuration of this site, or empty if none has been found yet
   */
  Optional<Configuration> current();

  /**
   * Adds a listener that is called on the event loop with each new configuration, and immediately
   * with the current one, if any.
   *
   * @param listener the listener
   */
  void addListener(Consumer<Configuration> listener);
}
