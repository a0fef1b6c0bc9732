package org.hibiscusreel.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Standard load-balancing policies that serve as baselines for comparison. */
public final class BaselinePolicies {
  private BaselinePolicies() {}

  /**
   * Returns a policy that chooses a random upstream below its limit.
   *
   * @return the policy
   */
  public static RoutingPolicy random() {
    return (candidates, domain, random) -> {
      List<EngineCandidate> free = belowLimit(candidates);
      return free.isEmpty()
          ? Optional.empty()
          : Optional.of(free.get((int) Math.floorMod(random.getAsLong(), (long) free.size())));
    };
  }

  /**
   * Returns a policy that cycles through the upstreams below their limit.
   *
   * @return a policy with its own position in the cycle
   */
  public static RoutingPolicy roundRobin() {
    AtomicInteger next = new AtomicInteger();
    return (candidates, domain, random) -> {
      List<EngineCandidate> free = belowLimit(candidates);
      return free.isEmpty()
          ? Optional.empty()
          : Optional.of(free.get(Math.floorMod(next.getAndIncrement(), free.size())));
    };
  }

  /**
   * Returns a policy that chooses the upstream with the fewest requests in progress of this daemon.
   *
   * @return the policy
   */
  public static RoutingPolicy leastInFlight() {
    return (candidates, domain, random) ->
        belowLimit(candidates).stream()
            .min(
                Comparator.comparingInt(EngineCandidate::inFlight)
                    .thenComparing(EngineCandidate::name));
  }

  private static List<EngineCandidate> belowLimit(List<EngineCandidate> candidates) {
    return candidates.stream().filter(EngineCandidate::isBelowLimit).toList();
  }
}
