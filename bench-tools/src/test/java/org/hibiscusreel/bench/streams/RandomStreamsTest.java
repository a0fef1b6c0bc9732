package org.hibiscusreel.bench.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RandomStreamsTest {

  /** Number of seeds, which one processor plays in a few seconds. */
  private static final long SEEDS = 1_500;

  /**
   * Guards against streams of two versions or services at daemons that are cut off, stand still or
   * start again during a release. Left out are upstreams that start again under their identity at
   * another version: no answer tells it while their entry is outdated.
   */
  @Test
  void noStreamIsOfTwoVersionsOrServices() {
    List<String> joined = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      Plan plan = RandomPlans.without(RandomPlans.create(seed), Set.of(RandomPlans.Kind.RESTART));
      for (StreamRun.Joined j : ExploreStreams.play(plan, seed, PlannedFault.NONE).joined()) {
        joined.add("seed %d: %s got %s".formatted(seed, j.stream(), j.origins()));
      }
    }
    assertThat(joined).isEmpty();
  }
}
