package org.hibiscusreel.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Policy for choosing the upstream of a request. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses among upstreams that may serve a request.
   *
   * @param candidates the upstreams, without those that are leaving or have already failed this
   *     request
   * @param failureDomain failure domain of this daemon
   * @param random source of random bits
   * @return the chosen upstream, or empty if all candidates have reached their limit
   */
  Optional<EngineCandidate> choose(
      List<EngineCandidate> candidates, String failureDomain, LongSupplier random);
}
