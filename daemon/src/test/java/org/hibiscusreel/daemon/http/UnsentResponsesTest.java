package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UnsentResponsesTest {

  /**
   * Guards against responses that take memory without bound, and against a caller who reads and is
   * cut for one who doesn't. A step adds bytes to a connection, {@code -} takes those sent away.
   */
  @ParameterizedTest
  @CsvSource({
    "a50 b50, 100, ''",
    "a50 b51, 101, a",
    "a50 b40 a-10 c30, 110, b",
    "a50 b40 a-60 c70, 110, b",
    "a60 b60 c60, 180, a b",
    "a200, 200, a",
    "a50 a60 b10, 120, a",
    "z-5 a0, 0, ''"
  })
  void findsConnectionsThatSentNothingForLongest(String steps, long bytes, String excess) {
    UnsentResponses<String> responses = new UnsentResponses<>(100);
    for (String step : steps.split(" ", -1)) {
      String connection = step.substring(0, 1);
      long count = Long.parseLong(step.substring(1));
      if (count < 0) {
        responses.onSent(connection, -count);
      } else {
        responses.add(connection, count);
      }
    }
    assertThat(responses.bytes()).isEqualTo(bytes);
    assertThat(responses.findExcess())
        .isEqualTo(Arrays.stream(excess.split(" ", -1)).filter(s -> !s.isEmpty()).toList());
    responses.findExcess().forEach(responses::remove);
    assertThat(responses.findExcess()).isEmpty();
  }
}
