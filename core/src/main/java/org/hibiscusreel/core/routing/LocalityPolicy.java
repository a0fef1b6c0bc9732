package org.hibiscusreel.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Prefers upstreams in the daemon's own failure domain, then the lowest expected delay, estimated
 * from load, observed latency and cached prefixes. A cached prefix counts only while its upstream
 * is not much busier than the others. If there are many upstreams, only a random sample is
 * compared, since daemons with the same delayed load reports would otherwise all choose the same
 * upstream.
 */
public final class LocalityPolicy implements RoutingPolicy {
  private static final int MAX_FULL_COMPARISON = 8;
  private static final int SAMPLE_SIZE = 4;

  /** Cost of an idle upstream as a fraction of the cost added by full load. */
  private static final double IDLE_COST = 0.25;

  /** Fraction of the delay that a fully cached prompt saves. */
  private static final double MAX_PREFIX_SAVING = 0.6;

  /** Largest excess over the average utilization at which a cached prefix counts. */
  private static final double MAX_IMBALANCE = 0.25;

  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 20;

  @Override
  public Optional<EngineCandidate> choose(
      List<EngineCandidate> candidates, String failureDomain, LongSupplier random) {
    List<EngineCandidate> free = candidates.stream().filter(EngineCandidate::isBelowLimit).toList();
    List<EngineCandidate> local =
        free.stream().filter(c -> c.failureDomain().equals(failureDomain)).toList();
    List<EngineCandidate> pool = local.isEmpty() ? free : local;
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    double medianDelay = medianDelay(pool);
    double utilization = pool.stream().mapToDouble(LocalityPolicy::utilization).average().orElse(0);
    EngineCandidate best = null;
    double bestCost = 0;
    for (EngineCandidate c : sample(pool, random)) {
      double cost = cost(c, medianDelay, utilization);
      if (best == null || cost < bestCost) {
        best = c;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double utilization(EngineCandidate c) {
    return Math.max(c.load(), c.inFlight()) / c.capacity();
  }

  private static double medianDelay(List<EngineCandidate> pool) {
    double[] known =
        pool.stream()
            .mapToDouble(EngineCandidate::delayMillis)
            .filter(d -> d > 0)
            .sorted()
            .toArray();
    return known.length == 0 ? 0 : known[(known.length - 1) / 2];
  }

  private static double cost(EngineCandidate c, double medianDelay, double average) {
    double slowness = 1;
    if (medianDelay > 0 && c.delayMillis() > 0) {
      slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, c.delayMillis() / medianDelay));
    }
    double utilization = utilization(c);
    double saving =
        utilization <= average + MAX_IMBALANCE ? MAX_PREFIX_SAVING * c.prefixMatch() : 0;
    return slowness * (IDLE_COST + utilization) * (1 - saving);
  }

  /**
   * Returns the candidates in random order. If there are more than {@link #MAX_FULL_COMPARISON},
   * returns a random sample and the candidate with the best prefix match.
   */
  private static List<EngineCandidate> sample(List<EngineCandidate> pool, LongSupplier random) {
    List<EngineCandidate> rest = new ArrayList<>(pool);
    List<EngineCandidate> picked = new ArrayList<>();
    int count = pool.size() <= MAX_FULL_COMPARISON ? pool.size() : SAMPLE_SIZE;
    if (count < pool.size()) {
      rest.stream()
          .filter(c -> c.prefixMatch() > 0)
          .max(Comparator.comparingDouble(EngineCandidate::prefixMatch))
          .ifPresent(picked::add);
      rest.removeAll(picked);
    }
    for (int i = 0; i < count && !rest.isEmpty(); i++) {
      picked.add(rest.remove((int) Math.floorMod(random.getAsLong(), (long) rest.size())));
    }
    return picked;
  }
}
