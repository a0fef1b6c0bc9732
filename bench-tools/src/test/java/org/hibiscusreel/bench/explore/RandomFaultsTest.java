package org.hibiscusreel.bench.explore;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.hibiscusreel.bench.sim.RandomTraces;
import org.hibiscusreel.bench.sim.Simulation;

/** Guards against violations of the invariants under random, possibly overlapping faults. */
class RandomFaultsTest {

  @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void allInvariantsHold(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertThat(Simulation.run(RandomTraces.create(seed), seed).violations()).isEmpty();
  }
}
