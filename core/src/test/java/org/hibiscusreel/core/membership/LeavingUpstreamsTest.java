package org.hibiscusreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.core.membership.LeavingUpstreams.Source;
import org.junit.jupiter.api.Test;

class LeavingUpstreamsTest {
  private final LeavingUpstreams here = new LeavingUpstreams();
  private final LeavingUpstreams there = new LeavingUpstreams();

  /** Guards against an old statement that revives after the upstream was returned. */
  @Test
  void lastStatementOfEachSourceWins() {
    assertThat(here.state(Source.LOAD, "a:b@c", true, 100)).isTrue();
    assertThat(here.state(Source.LOAD, "a:b@c", true, 200)).isFalse();
    List<String> old = here.encode();
    assertThat(there.merge(old)).isTrue();
    assertThat(there.names()).containsExactly("a:b@c");
    there.state(Source.LOAD, "a:b@c", false, 50);
    assertThat(there.merge(old)).isFalse();
    assertThat(there.names()).isEmpty();
    assertThat(here.merge(there.encode())).isTrue();
    assertThat(here.names()).isEmpty();
  }

  /** Guards against one source returning what another one drains, and against bad input. */
  @Test
  void sourcesAreIndependentAndInputIsChecked() {
    here.state(Source.MARK, "e", true, 1);
    here.state(Source.HOSTS, "e", true, 1);
    here.state(Source.HOSTS, "e", false, 2);
    assertThat(here.names()).containsExactly("e");
    assertThat(here.merge(List.of("", "x", "LOAD:@1", "NONE:e@1", "LOAD:e@x"))).isFalse();
    assertThat(here.changedAt(Source.HOSTS, "e")).contains(2L);
    here.expire(2 + LeavingUpstreams.RETURNED_MEMORY_MILLIS + 1);
    assertThat(here.changedAt(Source.HOSTS, "e")).isEmpty();
    for (int i = 0; i < 100; i++) {
      here.state(Source.LOAD, "u" + i, true, i);
    }
    assertThat(here.encode()).hasSize(LeavingUpstreams.MAX_PER_MESSAGE);
  }
}
