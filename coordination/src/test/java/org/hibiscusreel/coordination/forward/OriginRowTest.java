package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OriginRowTest {

  /** Text as the release before wrote it. */
  private static final String EARLIER =
      "{\"atMillis\":5,\"versions\":[{\"service\":\"s\",\"software\":[\"v1\"]}],"
          + "\"streams\":[{\"service\":\"s\",\"software\":\"v1\",\"requests\":[\"id\"]}]}";

  /** Guards against records that are lost while two releases are in service. */
  @Test
  void readsRowsOfTheReleaseBefore() throws IOException {
    OriginRow row = OriginRow.parse(EARLIER);
    assertThat(row.streams()).hasSize(1);
    assertThat(row.versions()).hasSize(1);
    assertThat(row.routes()).isEmpty();
    OriginRow written =
        new OriginRow(row.atMillis(), row.versions(), row.streams(), Optional.of(List.of(7L)));
    assertThat(OriginRow.parse(written.toText())).isEqualTo(written);
    assertThat(written.toText()).startsWith(EARLIER.substring(0, EARLIER.length() - 1));
  }

  /** Guards against a row of another writer that ends the reading of all rows. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "null",
        "{\"atMillis\":5,\"versions\":[]}",
        "{\"atMillis\":5,\"versions\":[],\"streams\":[],\"routes\":\"x\"}",
        "{\"atMillis\":5,\"versions\":[],\"streams\":[],\"routes\":[\"x\"]}"
      })
  void refusesRowsThatAreSpoilt(String text) {
    assertThatThrownBy(() -> OriginRow.parse(text)).isInstanceOf(IOException.class);
  }
}
