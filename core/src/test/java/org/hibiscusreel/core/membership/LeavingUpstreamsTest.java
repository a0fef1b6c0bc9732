package org.hibiscusreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.core.membership.LeavingUpstreams.Source;
import org.junit.jupiter.api.Test;

class LeavingUpstreamsTest {
  private final LeavingUpstreams local = new LeavingUpstreams();
  private final LeavingUpstreams remote = new LeavingUpstreams();

  /**
   * Guards against an old register that takes effect again after the upstream was returned to
   * service.
   */
  @Test
  void lastWriteOfEachSourceWins() {
    assertThat(local.setRegister(Source.LOAD, "a:b@c", true, 100)).isTrue();
    assertThat(local.setRegister(Source.LOAD, "a:b@c", true, 200)).isFalse();
    List<String> oldRegisters = local.encode();
    assertThat(remote.merge(oldRegisters)).isTrue();
    assertThat(remote.names()).containsExactly("a:b@c");
    remote.setRegister(Source.LOAD, "a:b@c", false, 50);
    assertThat(remote.merge(oldRegisters)).isFalse();
    assertThat(remote.names()).isEmpty();
    assertThat(local.merge(remote.encode())).isTrue();
    assertThat(local.names()).isEmpty();
  }

  /**
   * Guards against one source returning an upstream that another one drains, and against malformed
   * input.
   */
  @Test
  void sourcesAreIndependentAndInputIsValidated() {
    local.setRegister(Source.MARK, "e", true, 1);
    local.setRegister(Source.HOSTS, "e", true, 1);
    local.setRegister(Source.HOSTS, "e", false, 2);
    assertThat(local.names()).containsExactly("e");
    assertThat(local.merge(List.of("", "x", "LOAD:@1", "NONE:e@1", "LOAD:e@x"))).isFalse();
    assertThat(local.changedAt(Source.HOSTS, "e")).contains(2L);
    local.expire(2 + LeavingUpstreams.RETURNED_RETENTION_MILLIS + 1);
    assertThat(local.changedAt(Source.HOSTS, "e")).isEmpty();
    for (int i = 0; i < 100; i++) {
      local.setRegister(Source.LOAD, "u" + i, true, i);
    }
    assertThat(local.encode()).hasSize(LeavingUpstreams.MAX_PER_MESSAGE);
  }
}
