package org.hibiscusreel.coordination.port;

import java.util.List;

/**
 * Declared state that an engine is ordered into.
 *
 * @param fencing fencing number of the order holder
 * @param models models to have loaded
 * @param adapters adapters to have loaded
 * @param role role of the engine, for example {@code generate}
 */
public record EngineOrder(long fencing, List<String> models, List<String> adapters, String role) {

  /** Copies the lists. */
  public EngineOrder {
    models = List.copyOf(models);
    adapters = List.copyOf(adapters);
  }
}
