package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestLimitTest {

  @Test
  void readsMissingLimitAsUnlimited() {
    assertThat(RequestLimit.parse(Optional.empty())).isEqualTo(new RequestLimit.Unlimited());
  }

  @ParameterizedTest
  @CsvSource({"2,2", "1.8,1.8", "' 0.25 ',0.25", "0,0", ".5,0.5", "7.,7"})
  void readsDecimalNumbers(String text, double perSecond) {
    assertThat(RequestLimit.parse(Optional.of(text)))
        .isEqualTo(new RequestLimit.Limited(perSecond));
  }

  /** Guards against a rate that overflows what is computed from it. */
  @Test
  void boundsHugeNumbers() {
    assertThat(RequestLimit.parse(Optional.of("9".repeat(30))))
        .isEqualTo(new RequestLimit.Limited(RequestLimit.MAX_PER_SECOND));
  }

  /** Guards against values from which no rate can be computed. */
  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "NaN", "Infinity", "1e3", "0x1p3", "two", "1,5", "1 2", "."})
  void rejectsOtherValues(String text) {
    assertThat(RequestLimit.parse(Optional.of(text))).isInstanceOf(RequestLimit.Invalid.class);
  }

  /** Guards against log lines that grow with what an upstream sends. */
  @Test
  void shortensWhatItRejects() {
    assertThat(RequestLimit.parse(Optional.of("x".repeat(9_000))))
        .isEqualTo(new RequestLimit.Invalid("x".repeat(40)));
  }
}
