package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerVersionsTest {

  private final PeerVersions peers = new PeerVersions();

  private static StreamOrigin version(String software) {
    return new StreamOrigin("s", software);
  }

  /** Guards against a conclusion from the reports of daemons that are cut off together. */
  @ParameterizedTest
  @CsvSource({
    "0, 1, true",
    "0, 2, false",
    "1, 2, true",
    "3, 8, false",
    "4, 8, false",
    "6, 8, false",
    "7, 8, true"
  })
  void needsReportsOfAllDaemons(int heard, int daemons, boolean expected) {
    for (int i = 0; i < heard; i++) {
      peers.onReport("d" + i, List.of(version("v1")), 100);
    }
    peers.onReport("e", List.of(new StreamOrigin("t", "v1")), 100);
    assertThat(peers.areAll(Set.of("s"), 99, 100, daemons)).isEqualTo(expected);
    assertThat(peers.areAll(Set.of("s"), 100, 100, daemons)).isEqualTo(daemons == 1);
    assertThat(peers.areAll(Set.of("s"), 99, 99, daemons)).isEqualTo(daemons == 1);
    for (int i = 0; i < heard; i++) {
      peers.onReport("d" + i, List.of(version("v1")), 200);
    }
    assertThat(peers.areAll(Set.of("s"), 199, 100, daemons)).isEqualTo(expected);
  }

  @Test
  void lastReportOfEachSenderCounts() {
    peers.onReport("a", List.of(version("v1")), 100);
    peers.onReport("a", List.of(version("v2"), new StreamOrigin("t", "v9")), 200);
    peers.onReport("b", List.of(version("v3")), 50);
    assertThat(peers.versions("s", 99)).containsExactly(version("v2"));
    peers.expire(201);
    assertThat(peers.versions("s", 0)).isEmpty();
  }
}
