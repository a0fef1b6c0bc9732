package org.hibiscusreel.core.config;

import java.util.Map;

/**
 * Effective configuration of one site: the base configuration with the overlay of the site applied.
 *
 * @param version version of the published configuration, positive
 * @param serving default settings for requests
 * @param sites sites by name
 * @param models models by name
 * @param upstreams upstreams by name
 * @param services plain services by name
 * @param classes request classes by name
 * @param accounts client accounts by identifier
 */
public record Configuration(
    long version,
    ServingDefaults serving,
    Map<String, Site> sites,
    Map<String, ModelSettings> models,
    Map<String, Upstream> upstreams,
    Map<String, PlainService> services,
    Map<String, RequestClass> classes,
    Map<String, ClientAccount> accounts) {

  /** Copies the maps. */
  public Configuration {
    sites = Map.copyOf(sites);
    models = Map.copyOf(models);
    upstreams = Map.copyOf(upstreams);
    services = Map.copyOf(services);
    classes = Map.copyOf(classes);
    accounts = Map.copyOf(accounts);
  }
}
