package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Immutable lookup tables for one version of a configuration. */
public final class ForwardingTable {

  private final long version;
  private final CallerLimits limits;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ForwardService> services = new HashMap<>();
  private final Map<String, AccountSettings> accounts = new HashMap<>();
  private final Map<String, String> accountByKey;

  /**
   * Creates the lookup tables of a configuration.
   *
   * @param version version of the configuration
   * @param limits limits on callers
   * @param routes all routes
   * @param services all services
   * @param accounts all client accounts
   * @param accountByKey name of the account of each key; empty if callers need no keys
   */
  public ForwardingTable(
      long version,
      CallerLimits limits,
      Collection<Route> routes,
      Collection<ForwardService> services,
      Collection<AccountSettings> accounts,
      Map<String, String> accountByKey) {
    this.version = version;
    this.limits = limits;
    this.accountByKey = Map.copyOf(accountByKey);
    routes.forEach(r -> routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
    Comparator<Route> longestPrefixFirst =
        Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestPrefixFirst));
    services.forEach(s -> this.services.put(s.name(), s));
    accounts.forEach(a -> this.accounts.put(a.name(), a));
  }

  /**
   * Returns the configuration version.
   *
   * @return version of the configuration
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits on callers.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return limits;
  }

  /**
   * Finds the route with the longest prefix.
   *
   * @param host host name, with or without a port
   * @param path path without the query
   * @return the route, or empty if none matches
   */
  public Optional<Route> route(String host, String path) {
    return routesByHost.getOrDefault(withoutPort(host), List.of()).stream()
        .filter(r -> path.startsWith(r.pathPrefix()))
        .findFirst();
  }

  static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /**
   * Returns all routes.
   *
   * @return the routes
   */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Tells whether callers need a key.
   *
   * @return true if the configuration has client accounts
   */
  public boolean requiresKeys() {
    return !accounts.isEmpty();
  }

  /**
   * Finds the client account of a key.
   *
   * @param key key of a caller
   * @return the account, or empty if the key is unknown
   */
  public Optional<AccountSettings> account(String key) {
    return Optional.ofNullable(accountByKey.get(key)).map(accounts::get);
  }

  /**
   * Returns all client accounts.
   *
   * @return the accounts
   */
  public Collection<AccountSettings> accounts() {
    return accounts.values();
  }

  /**
   * Finds a client account by its name.
   *
   * @param name name of the account
   * @return the account, or empty if there is none
   */
  public Optional<AccountSettings> accountNamed(String name) {
    return Optional.ofNullable(accounts.get(name));
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return the service, or empty if there is none
   */
  public Optional<ForwardService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }
}
