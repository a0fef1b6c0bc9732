package org.hibiscusreel.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Prefers the own failure domain, then the lowest expected delay from load, observed delay and
 * cached prefixes. A cached prefix counts only while its upstream is not much busier than the
 * others. Among many upstreams it compares a random sample, since daemons that share late load
 * reports would otherwise all choose the same one.
 */
public final class LocalityPolicy implements RoutingPolicy {
  private static final int COMPARE_ALL = 8;
  private static final int SAMPLE = 4;

  /** Cost of an idle upstream in units of its full load. */
  private static final double IDLE_COST = 0.25;

  /** Share of the delay that a fully cached prompt saves. */
  private static final double PREFIX_GAIN = 0.6;

  /** Utilization above the average up to which a cached prefix counts. */
  private static final double MAX_IMBALANCE = 0.25;

  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 20;

  @Override
  public Optional<EngineCandidate> choose(
      List<EngineCandidate> candidates, String failureDomain, LongSupplier random) {
    List<EngineCandidate> free = candidates.stream().filter(EngineCandidate::hasRoom).toList();
    List<EngineCandidate> local =
        free.stream().filter(c -> c.failureDomain().equals(failureDomain)).toList();
    List<EngineCandidate> tier = local.isEmpty() ? free : local;
    if (tier.isEmpty()) {
      return Optional.empty();
    }
    double typicalDelay = typicalDelay(tier);
    double utilization = tier.stream().mapToDouble(LocalityPolicy::utilization).average().orElse(0);
    EngineCandidate best = null;
    double bestCost = 0;
    for (EngineCandidate c : sample(tier, random)) {
      double cost = cost(c, typicalDelay, utilization);
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

  private static double typicalDelay(List<EngineCandidate> tier) {
    double[] known =
        tier.stream()
            .mapToDouble(EngineCandidate::delayMillis)
            .filter(d -> d > 0)
            .sorted()
            .toArray();
    return known.length == 0 ? 0 : known[(known.length - 1) / 2];
  }

  private static double cost(EngineCandidate c, double typicalDelay, double average) {
    double slowness = 1;
    if (typicalDelay > 0 && c.delayMillis() > 0) {
      slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, c.delayMillis() / typicalDelay));
    }
    double utilization = utilization(c);
    double gain = utilization <= average + MAX_IMBALANCE ? PREFIX_GAIN * c.prefixMatch() : 0;
    return slowness * (IDLE_COST + utilization) * (1 - gain);
  }

  /** Returns the candidates in random order; of many only a few and the best cached one. */
  private static List<EngineCandidate> sample(List<EngineCandidate> tier, LongSupplier random) {
    List<EngineCandidate> rest = new ArrayList<>(tier);
    List<EngineCandidate> picked = new ArrayList<>();
    int count = tier.size() <= COMPARE_ALL ? tier.size() : SAMPLE;
    if (count < tier.size()) {
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
