package org.hibiscusreel.coordination.port;

import java.util.List;

/**
 * Command that brings an engine into a declared state.
 *
 * @param fencing fencing number of the daemon that sends the command
 * @param models models to be loaded
 * @param adapters adapters to be loaded
 * @param role role of the engine, for example {@code generate}
 */
public record EngineOrder(long fencing, List<String> models, List<String> adapters, String role) {

  /** Copies the lists. */
  public EngineOrder {
    models = List.copyOf(models);
    adapters = List.copyOf(adapters);
  }
}
