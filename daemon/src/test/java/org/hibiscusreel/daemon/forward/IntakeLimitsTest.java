package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.ConnectionRegister;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class IntakeLimitsTest {

  private static final long HEAP = 48L * 1024 * 1024;
  private static final int FILES = 200;

  /** Guards against limits that together allow more descriptors than the process has. */
  @ParameterizedTest
  @CsvSource({"300", "600", "4100", "8192", "65536"})
  void leavesDescriptorsForFilesAndUpstreams(int descriptors) {
    IntakeLimits limits = IntakeLimits.forProcess(descriptors, HEAP);
    int used =
        2 * limits.callers().maxConnections()
            + 3 * limits.relays().maxConnections()
            + 2 * limits.status().maxConnections();
    assertThat(used).isBetween(1, descriptors - FILES);
  }

  /** Guards against relayed requests that leave no memory to the head of a further one. */
  @Test
  void leavesMemoryToHeadsBesideRelayedRequests() {
    ConnectionLimits relays = IntakeLimits.forProcess(4_100, HEAP).relays();
    ConnectionRegister<Integer> register = new ConnectionRegister<>(relays);
    for (int i = 0; i < relays.maxConnections(); i++) {
      register.add(i, 0);
      register.update(i, ConnectionRegister.Phase.RESPONSE, 0, 0);
    }
    register.add(-1, 0);
    register.update(-1, ConnectionRegister.Phase.HEAD, relays.maxHeadBytes(), 0);
    assertThat(register.findExcess()).isEmpty();
  }

  /** Guards against limits of few descriptors that let nobody in. */
  @ParameterizedTest
  @CsvSource({"1", "200", "201"})
  void allowsOneConnectionAtLeast(int descriptors) {
    IntakeLimits limits = IntakeLimits.forProcess(descriptors, HEAP);
    assertThat(limits.callers().maxConnections()).isOne();
    assertThat(limits.status().maxConnections()).isOne();
    assertThat(limits.relays().maxConnections()).isOne();
  }

  /** Guards against a memory of bodies in which the largest body of one caller doesn't fit. */
  @Test
  void refusesMemoryThatIsTooSmallForOneBody() {
    IntakeLimits limits = IntakeLimits.forProcess(4_100, 1);
    long least = IntakeLimits.minBodyMemoryBytes();
    assertThat(limits.bodyMemoryBytes()).isEqualTo(least);
    assertThat(least - limits.smallBodyMemoryBytes())
        .isGreaterThanOrEqualTo(ForwardServer.MAX_BODY_BYTES);
    assertThatThrownBy(
            () -> new IntakeLimits(limits.callers(), limits.status(), limits.relays(), least - 1))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
