package org.hibiscusreel.core.forward;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Configured route.
 *
 * @param name name of the route
 * @param host value of the {@code Host} header without a port
 * @param pathPrefix path prefix, which begins and ends with a slash
 * @param retryPolicy whether a request may run more than once
 * @param streamed whether the response is an event stream
 * @param timeoutMillis timeout of a request, in milliseconds
 * @param targetMillis latency target for the response, or for its first event if streamed, in
 *     milliseconds
 * @param maxPauseMillis target for the longest pause between two events in milliseconds, 0 if not
 *     streamed
 * @param priority priority, 0 is the most urgent
 * @param services services that the requests are distributed over, not empty
 * @param maxAttempts largest number of upstreams that one request is sent to
 * @param isPublic whether callers may omit the key
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RetryPolicy retryPolicy,
    boolean streamed,
    long timeoutMillis,
    long targetMillis,
    long maxPauseMillis,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean isPublic) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Returns the names of the services.
   *
   * @return a copy
   */
  public Set<String> serviceNames() {
    return services.stream().map(WeightedService::service).collect(Collectors.toSet());
  }

  /**
   * Chooses a service by weight.
   *
   * @param random a random value, any number
   * @return name of the service
   */
  public String chooseService(long random) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total <= 0) {
      return services.get(0).service();
    }
    long remainder = Math.floorMod(random, (long) total);
    for (WeightedService s : services) {
      remainder -= s.weight();
      if (remainder < 0) {
        return s.service();
      }
    }
    return services.get(0).service();
  }
}
