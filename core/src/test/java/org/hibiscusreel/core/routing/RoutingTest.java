package org.hibiscusreel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RoutingTest {
  private final Random random = new Random(7);
  private final RoutingPolicy locality = new LocalityPolicy();

  private static EngineCandidate engine(
      String name, String domain, int inFlight, double delay, double match) {
    return new EngineCandidate(name, domain, inFlight, 10, inFlight, 10, delay, match);
  }

  private String choose(RoutingPolicy policy, EngineCandidate... engines) {
    return policy
        .choose(List.of(engines), "d1", random::nextLong)
        .map(EngineCandidate::name)
        .orElse("");
  }

  /**
   * Guards against choosing another failure domain while the own one has capacity, and against not
   * choosing another one when it has none.
   */
  @Test
  void prefersOwnFailureDomainWhileBelowLimit() {
    assertThat(choose(locality, engine("a", "d1", 9, 0, 0), engine("b", "d2", 0, 0, 1)))
        .isEqualTo("a");
    assertThat(choose(locality, engine("a", "d1", 10, 0, 0), engine("b", "d2", 0, 0, 0)))
        .isEqualTo("b");
    assertThat(choose(locality, engine("a", "d1", 10, 0, 0))).isEmpty();
  }

  /** Guards against overloading one engine because of a cached prefix. */
  @Test
  void usesCachedPrefixesWithinTheImbalanceLimit() {
    assertThat(choose(locality, engine("a", "d1", 2, 0, 1), engine("b", "d1", 1, 0, 0)))
        .isEqualTo("a");
    assertThat(choose(locality, engine("a", "d1", 8, 0, 1), engine("b", "d1", 1, 0, 0)))
        .isEqualTo("b");
  }

  /** Guards against sending as many requests to a slow engine as to the others. */
  @Test
  void avoidsSlowEngines() {
    assertThat(
            choose(
                locality,
                engine("slow", "d1", 0, 2_000, 0),
                engine("b", "d1", 3, 100, 0),
                engine("c", "d1", 3, 100, 0)))
        .isIn("b", "c");
  }

  /** Guards against all daemons choosing the same engine because of the same delayed reports. */
  @Test
  void spreadsRequestsOverManyEqualEngines() {
    List<EngineCandidate> engines = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      engines.add(engine("e" + i, "d1", 0, 0, 0));
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 4_000; i++) {
      String name = locality.choose(engines, "d1", random::nextLong).orElseThrow().name();
      counts.merge(name, 1, Integer::sum);
    }
    assertThat(counts).hasSize(40);
    assertThat(counts.values()).allMatch(n -> n < 200);
  }

  /** Guards against baselines that ignore limits, which would distort comparisons. */
  @Test
  void baselinesRespectLimits() {
    EngineCandidate full = engine("full", "d1", 10, 0, 0);
    EngineCandidate a = engine("a", "d1", 5, 0, 0);
    EngineCandidate b = engine("b", "d1", 3, 0, 0);
    assertThat(choose(BaselinePolicies.leastInFlight(), full, a, b)).isEqualTo("b");
    assertThat(choose(BaselinePolicies.random(), full)).isEmpty();
    assertThat(choose(BaselinePolicies.random(), full, a)).isEqualTo("a");
    RoutingPolicy roundRobin = BaselinePolicies.roundRobin();
    assertThat(
            List.of(
                choose(roundRobin, full, a, b),
                choose(roundRobin, full, a, b),
                choose(roundRobin, full, a, b)))
        .containsExactly("a", "b", "a");
  }

  /**
   * Guards against trusting entries whose eviction may have been missed, and against unbounded
   * growth.
   */
  @Test
  void prefixIndexDiscountsEntriesAfterGapsAndIsBounded() {
    PrefixCacheIndex index = new PrefixCacheIndex(3);
    index.onEvent("e", 1, true, "p1");
    index.onEvent("e", 2, true, "p2");
    assertThat(index.match("e", List.of("p1", "p2"))).isEqualTo(1.0);
    assertThat(index.match("e", List.of("p1", "other"))).isEqualTo(0.5);
    index.onEvent("e", 9, false, "p2");
    assertThat(index.match("e", List.of("p1", "p2"))).isEqualTo(0.25);
    index.onEvent("e", 3, true, "p2");
    assertThat(index.match("e", List.of("p1", "p2"))).isEqualTo(0.25);
    index.onDispatch("f", List.of("q1", "q2", "q3", "q4"));
    assertThat(index.size()).isEqualTo(3);
    assertThat(index.lastSequence("e")).isEqualTo(9);
    index.removeEngine("f");
    assertThat(index.size()).isZero();
  }

  /** Guards against an old report diverting requests from an engine that is idle again. */
  @Test
  void loadReportsDecay() {
    LoadEstimate load = new LoadEstimate();
    load.onReport(12, 20, 2, 0);
    load.onDelay(1_000, 0);
    assertThat(load.load(2, 0)).isEqualTo(12);
    assertThat(load.load(2, 30_000)).isBetween(2.0, 2.1);
    assertThat(load.capacity(5)).isEqualTo(20);
    assertThat(load.delayMillis(20_000)).isBetween(240.0, 260.0);
    assertThat(load.isLoadAtMost(1, 100, 1_000)).isFalse();
    load.onReport(1, 20, 1, 200);
    assertThat(load.isLoadAtMost(1, 300, 1_000)).isTrue();
    assertThat(load.isLoadAtMost(1, 2_000, 1_000)).isFalse();
  }
}
