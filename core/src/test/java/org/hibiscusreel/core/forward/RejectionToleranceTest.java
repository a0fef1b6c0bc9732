package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RejectionToleranceTest {

  @Test
  void readsMissingNumberAsNotBrittle() {
    assertThat(RejectionTolerance.parse(Optional.empty()))
        .isEqualTo(new RejectionTolerance.Unbounded());
  }

  /** Guards against a tolerance that is rounded up or overflows. */
  @ParameterizedTest
  @CsvSource({"2,2", "' 3 ',3", "0,0", "1.9,1", "999999999999999999,1000000"})
  void readsNumbers(String text, int perSecond) {
    assertThat(RejectionTolerance.parse(Optional.of(text)))
        .isEqualTo(new RejectionTolerance.Bounded(perSecond));
  }

  /** Guards against values that are no number of rejections. */
  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "NaN", "1e3", "two", "1,5"})
  void rejectsOtherValues(String text) {
    assertThat(RejectionTolerance.parse(Optional.of(text)))
        .isEqualTo(new RejectionTolerance.Invalid(text));
  }
}
