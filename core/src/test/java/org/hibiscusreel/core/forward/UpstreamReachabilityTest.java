package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class UpstreamReachabilityTest {

  private static final long RECENT = UpstreamReachability.RECENT_MILLIS;

  private static List<Arguments> histories() {
    return List.of(
        Arguments.of("one of several", 3, List.of("a 0"), false),
        Arguments.of("twice the same", 3, List.of("a 0", "a 9"), false),
        Arguments.of("two different", 3, List.of("a 0", "b 9"), true),
        Arguments.of("the only one", 1, List.of("a 0"), true),
        Arguments.of("one that is gone", 0, List.of("a 0"), false),
        Arguments.of("one opened between", 3, List.of("a 0", "+", "b 9"), false),
        Arguments.of("one opened before", 3, List.of("+", "a 0", "b 9"), true),
        Arguments.of("at the bound", 3, List.of("a 0", "b " + RECENT), true),
        Arguments.of("too far apart", 3, List.of("a 0", "b " + (RECENT + 1)), false),
        Arguments.of("one opened after", 3, List.of("a 0", "b 9", "+"), false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("histories")
  void suspectsFromFailedConnections(
      String name, int known, List<String> history, boolean isSuspected) {
    UpstreamReachability reachability = new UpstreamReachability();
    for (String entry : history) {
      String[] parts = entry.split(" ", -1);
      if (parts[0].equals("+")) {
        reachability.onConnected();
      } else {
        reachability.onConnectFailed(parts[0], known, Long.parseLong(parts[1]));
      }
    }
    assertThat(reachability.isIsolated()).isFalse();
    assertThat(reachability.confirm()).isEqualTo(isSuspected);
    assertThat(reachability.isIsolated()).isEqualTo(isSuspected);
  }

  @Test
  void reportsBeginAndEndOnce() {
    UpstreamReachability reachability = new UpstreamReachability();
    reachability.onConnectFailed("a", 3, 0);
    assertThat(reachability.onConnectFailed("b", 3, 0)).isTrue();
    assertThat(reachability.onConnectFailed("c", 3, 0)).isFalse();
    assertThat(reachability.confirm()).isTrue();
    assertThat(reachability.confirm()).isFalse();
    assertThat(reachability.onConnectFailed("a", 3, 0)).isFalse();
    assertThat(reachability.failedCount()).isEqualTo(3);
    assertThat(reachability.onConnected()).isTrue();
    assertThat(reachability.onConnected()).isFalse();
  }
}
