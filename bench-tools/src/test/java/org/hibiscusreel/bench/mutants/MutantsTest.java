package org.hibiscusreel.bench.mutants;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a checker, or random traces, that miss an injected defect. */
class MutantsTest {

  private static final int MAX_SEEDS = 200;

  @ParameterizedTest
  @EnumSource(Mutant.class)
  void reportsEveryMutant(Mutant mutant) {
    assertThat(Mutants.findSeed(mutant, MAX_SEEDS)).isPresent();
  }
}
