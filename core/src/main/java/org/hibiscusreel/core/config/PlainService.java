package org.hibiscusreel.core.config;

import java.util.Map;

/**
 * A plain service that callers reach by pass-through.
 *
 * @param name name in the path
 * @param methods methods by name
 */
public record PlainService(String name, Map<String, ServiceMethod> methods) {

  /** Copies the map. */
  public PlainService {
    methods = Map.copyOf(methods);
  }
}
