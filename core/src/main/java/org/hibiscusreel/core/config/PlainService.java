package org.hibiscusreel.core.config;

import java.util.Map;

/**
 * Plain service whose requests are passed through to its upstreams.
 *
 * @param name name in the request path
 * @param methods methods by name
 */
public record PlainService(String name, Map<String, ServiceMethod> methods) {

  /** Copies the map. */
  public PlainService {
    methods = Map.copyOf(methods);
  }
}
