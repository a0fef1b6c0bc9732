package org.hibiscusreel.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Chooses an upstream. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses among upstreams that may serve a request.
   *
   * @param candidates the upstreams, without those that are leaving or failed this request
   * @param failureDomain failure domain of this daemon
   * @param random source of random bits
   * @return the choice, or empty if no candidate has room
   */
  Optional<EngineCandidate> choose(
      List<EngineCandidate> candidates, String failureDomain, LongSupplier random);
}
