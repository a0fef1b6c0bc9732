package org.hibiscusreel.bench.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamModelTest {

  private static Plan plan(long seed) {
    return RandomPlans.without(RandomPlans.create(seed), Set.of(RandomPlans.Kind.RESTART));
  }

  private static boolean isFailing(long seed, PlannedFault fault) {
    return !ExploreStreams.play(plan(seed), seed, fault).joined().isEmpty();
  }

  /** Guards against findings that can't be played again. */
  @Test
  void playsTheSameEachTime() {
    List<StreamRun> runs =
        LongStream.range(0, 2)
            .mapToObj(i -> ExploreStreams.play(plan(1), 1, PlannedFault.RESUMPTION_IGNORED))
            .toList();
    assertThat(runs.get(0).joined()).isNotEmpty().isEqualTo(runs.get(1).joined());
    assertThat(runs.get(0).takeUps().counts()).isEqualTo(runs.get(1).takeUps().counts());
  }

  /**
   * Guards against a model that no longer shows the faults that it was made for. The seeds are
   * those that {@code explore-streams --without RESTART --faults} prints.
   */
  @ParameterizedTest
  @CsvSource({
    "CATCH_UP_FROM_LAST_POLL, 73",
    "RECORDS_LOST, 1",
    "GAPS_COUNT_AS_FOLLOWED, 290",
    "EARLIER_REPORTS_COUNT, 4927",
    "BRIEF_LISTINGS_MISSED, 447",
    "ERA_IGNORED, 176",
    "OUTDATED_ROWS, 12814",
    "RESUMPTION_IGNORED, 1"
  })
  void findsPlannedFault(PlannedFault fault, long seed) {
    assertThat(isFailing(seed, PlannedFault.NONE)).isFalse();
    assertThat(isFailing(seed, fault)).isTrue();
  }

  /** Guards against a shortest order that does not show the failure any more. */
  @Test
  void reducesPlanToOneThatStillFails() {
    Plan reduced = ExploreStreams.reduce(plan(1), 1, PlannedFault.RESUMPTION_IGNORED);
    assertThat(reduced.events()).hasSizeLessThan(plan(1).events().size() / 2);
    assertThat(ExploreStreams.play(reduced, 1, PlannedFault.RESUMPTION_IGNORED).joined())
        .isNotEmpty();
  }
}
