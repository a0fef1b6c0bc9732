package org.hibiscusreel.ctl.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TakeUpCountsTest {

  private static RequestLine ended(String outcome) {
    return new RequestLine(1, "x", "d", "f", "chat", "", List.of(), 0, outcome, "");
  }

  /** Guards against one cause that is listed many times, and two causes that are listed as one. */
  @ParameterizedTest
  @CsvSource({
    "aborted: no upstream of chat is left, aborted: no upstream of SERVICE is left",
    "NOT_RUN no answer within 1500 ms, NOT_RUN no answer within # ms",
    "NOT_RUN NotApplied[reason=status 503], NOT_RUN NotApplied[reason=status 503]",
    "FAILED BROKEN i-2b34a5177d at 10.1.64.22:8468, FAILED BROKEN # at #",
    "FAILED chatter, FAILED chatter",
    "status 200, status 200"
  })
  void leavesOutWhatVaries(String outcome, String cause) {
    assertThat(TakeUpCounts.cause(ended(outcome))).isEqualTo(cause);
  }

  /** Guards against a log whose outcomes all differ and fill the memory. */
  @Test
  void boundsCauses() {
    TakeUpCounts counts = new TakeUpCounts();
    for (int i = 0; i < 2 * TakeUpCounts.MAX_CAUSES; i++) {
      counts.onTakeUp(ended("NOT_RUN " + "x".repeat(i)), Optional.empty());
    }
    counts.onTakeUp(ended("caller gone"), Optional.empty());
    assertThat(counts.refused())
        .hasSize(TakeUpCounts.MAX_CAUSES + 1)
        .containsEntry("other causes", (long) TakeUpCounts.MAX_CAUSES);
    assertThat(counts.ended()).isEqualTo(Map.of("caller gone (source: not logged)", 1L));
  }

  /** Guards against take-ups that can't be compared and are not counted as such. */
  @ParameterizedTest
  @CsvSource({"'', 3, 1", "'', 0, 0", "f, 3, 0"})
  void countsTakeUpsThatNameNoRequest(String resumes, long events, long unnamed) {
    TakeUpCounts counts = new TakeUpCounts();
    counts.onTakeUp(
        new RequestLine(1, "x", "d", resumes, "s", "v1", List.of(), events, "complete", ""),
        Optional.empty());
    assertThat(counts.unnamed()).isEqualTo(unnamed);
  }
}
