package org.hibiscusreel.core.forward;

import java.util.List;

/**
 * Route of a configuration.
 *
 * @param name name of the route
 * @param host value of the {@code Host} header without a port
 * @param pathPrefix prefix of the path, from slash to slash
 * @param repetition how often a request may run
 * @param streamed whether the answer is a stream of events
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param targetMillis time within which the answer, or its first event, is on time, in milliseconds
 * @param maxPauseMillis longest pause between two events that is on time, 0 if not streamed
 * @param priority rank, 0 is the most urgent
 * @param services services that may run the requests, not empty
 * @param maxAttempts largest number of upstreams that one request is sent to
 * @param open whether callers need no key
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repetition repetition,
    boolean streamed,
    long timeoutMillis,
    long targetMillis,
    long maxPauseMillis,
    int priority,
    List<ServiceShare> services,
    int maxAttempts,
    boolean open) {

  /** Copies the list. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Chooses a service by weight.
   *
   * @param random a random value, any number
   * @return name of the service
   */
  public String service(long random) {
    int total = services.stream().mapToInt(ServiceShare::weight).sum();
    if (total <= 0) {
      return services.get(0).service();
    }
    long rest = Math.floorMod(random, (long) total);
    for (ServiceShare s : services) {
      rest -= s.weight();
      if (rest < 0) {
        return s.service();
      }
    }
    return services.get(0).service();
  }
}
