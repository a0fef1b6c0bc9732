package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.hibiscusreel.daemon.http.ConnectionRegister.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionRegisterTest {

  private static final int HEAD = 1_000;

  /** Memory of one head of the size above. */
  private static final long HEAD_MEMORY = ConnectionRegister.READ_BUFFER_BYTES + 4 * HEAD;

  private final ConnectionRegister<String> register =
      new ConnectionRegister<>(new ConnectionLimits(3, 32_768, 2 * HEAD_MEMORY));

  /**
   * Guards against a new connection that takes the place of a request which is being served, or of
   * an ordinary client while another one has stalled. The connections were last heard of at 0 ms,
   * 100 ms and 200 ms.
   */
  @ParameterizedTest
  @CsvSource({
    "HEAD HEAD HEAD, 500, a",
    "RESPONSE HEAD HEAD, 500, b",
    "IDLE HEAD HEAD, 500, a",
    "IDLE HEAD HEAD, 1100, b",
    "IDLE BODY HEAD, 1100, b",
    "IDLE BODY RESPONSE, 1099, a",
    "BODY BODY IDLE, 300, c",
    "RESPONSE IDLE IDLE, 5000, b",
    "RESPONSE BODY BODY, 1000, ''",
    "RESPONSE RESPONSE RESPONSE, 60000, ''"
  })
  void replacesConnectionOfStalledClientFirst(String phases, long nowMillis, String expected) {
    List<String> connections = List.of("a", "b", "c");
    for (String c : connections) {
      register.add(c, 100L * connections.indexOf(c));
    }
    for (String c : connections) {
      Phase phase = Phase.valueOf(phases.split(" ", -1)[connections.indexOf(c)]);
      register.update(c, phase, 0, 100L * connections.indexOf(c));
    }
    assertThat(register.isFull()).isTrue();
    assertThat(register.takeReplaceable(nowMillis).orElse("")).isEqualTo(expected);
  }

  /** Guards against a client that keeps a connection by single bytes of a head. */
  @Test
  void countsAgeOfHeadFromItsBegin() {
    register.add("slow", 0);
    register.add("new", 900);
    for (int bytes = 1; bytes <= 10; bytes++) {
      register.update("slow", Phase.HEAD, bytes, 100L * bytes);
    }
    assertThat(register.takeReplaceable(1_000)).contains("slow");
  }

  /** Guards against a flood of connections whose descriptors are not freed as fast. */
  @Test
  void limitsReplacementsInShortTime() {
    register.add("a", 0);
    for (int i = 0; i < ConnectionRegister.MAX_REPLACED; i++) {
      assertThat(register.takeReplaceable(50)).contains("a");
    }
    assertThat(register.takeReplaceable(55)).isEmpty();
    assertThat(register.takeReplaceable(60)).contains("a");
  }

  /** Guards against an upload that goes on and is closed for another one that has stalled. */
  @Test
  void findsOnlyBodiesThatDoNotGoOn() {
    for (String c : List.of("a", "b", "c")) {
      register.add(c, 0);
      register.update(c, Phase.BODY, 0, 0);
    }
    register.update("a", Phase.BODY, 0, 700);
    assertThat(register.findStalledBodies(1_200)).containsExactly("b", "c");
    assertThat(register.findStalledBodies(1_700)).containsExactly("b", "c", "a");
  }

  /** Guards against heads that together take more memory than there is for them. */
  @ParameterizedTest
  @CsvSource({
    "'', HEAD, ''",
    "a, HEAD, ''",
    "a b, HEAD, ''",
    "a b c, HEAD, a",
    "c b a, HEAD, c",
    "a b c, BODY, a",
    "a b c, RESPONSE, ''"
  })
  void findsUnfinishedRequestsThatTakeTooMuch(String names, Phase phase, String excess) {
    List<String> heads = split(names);
    heads.forEach(c -> register.add(c, 0));
    heads.forEach(c -> register.update(c, Phase.HEAD, HEAD, 0));
    heads.forEach(c -> register.update(c, phase, phase == Phase.HEAD ? HEAD : 0, 0));
    assertThat(register.headBytes()).isEqualTo(heads.size() * HEAD_MEMORY);
    assertThat(register.hasHeadMemory()).isEqualTo(heads.size() < 3);
    assertThat(register.findExcess()).isEqualTo(split(excess));
    split(excess).forEach(register::remove);
    assertThat(register.findExcess()).isEmpty();
    heads.forEach(c -> register.update(c, Phase.IDLE, 0, 0));
    assertThat(register.headBytes()).isZero();
  }

  private static List<String> split(String text) {
    return Arrays.stream(text.split(" ", -1)).filter(s -> !s.isEmpty()).toList();
  }
}
