package org.hibiscusreel.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Well-known policies to compare with. */
public final class BaselinePolicies {
  private BaselinePolicies() {}

  /**
   * Returns a policy that chooses a random upstream with room.
   *
   * @return the policy
   */
  public static RoutingPolicy random() {
    return (candidates, domain, random) -> {
      List<EngineCandidate> free = withRoom(candidates);
      return free.isEmpty()
          ? Optional.empty()
          : Optional.of(free.get((int) Math.floorMod(random.getAsLong(), (long) free.size())));
    };
  }

  /**
   * Returns a policy that takes the upstreams with room in turn.
   *
   * @return the policy, with its own position
   */
  public static RoutingPolicy roundRobin() {
    AtomicInteger next = new AtomicInteger();
    return (candidates, domain, random) -> {
      List<EngineCandidate> free = withRoom(candidates);
      return free.isEmpty()
          ? Optional.empty()
          : Optional.of(free.get(Math.floorMod(next.getAndIncrement(), free.size())));
    };
  }

  /**
   * Returns a policy that chooses the upstream with the fewest requests of this daemon.
   *
   * @return the policy
   */
  public static RoutingPolicy leastInFlight() {
    return (candidates, domain, random) ->
        withRoom(candidates).stream()
            .min(
                Comparator.comparingInt(EngineCandidate::inFlight)
                    .thenComparing(EngineCandidate::name));
  }

  private static List<EngineCandidate> withRoom(List<EngineCandidate> candidates) {
    return candidates.stream().filter(EngineCandidate::hasRoom).toList();
  }
}
