package org.hibiscusreel.bench.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RecordedTraceTest {

  /** Guards against changes that serve less of a recorded trace or violate an invariant in it. */
  @ParameterizedTest
  @ValueSource(strings = {"costa-rica-short-cut.jsonl", "bangkok-short-cut.jsonl"})
  void meetsExpectedOutcomes(String name) throws IOException {
    RecordedTrace recorded = RecordedTrace.read(Path.of("../scenarios/traces", name));
    assertThat(recorded.trace().arrivals()).isNotEmpty();
    assertThat(recorded.trace().faults()).isNotEmpty();
    assertThat(Replay.replay(recorded)).isEmpty();
  }

  /** Guards against a comparison that accepts worse outcomes than expected. */
  @Test
  void reportsWorseOutcomes() {
    RecordedTrace.Expected expected = new RecordedTrace.Expected(0, 10, 20, Map.of("late", 1));
    assertThat(expected.differences(expected)).isEmpty();
    assertThat(
            expected.differences(new RecordedTrace.Expected(1, 9, 19, Map.of("late", 2, "x", 1))))
        .hasSize(5);
  }
}
