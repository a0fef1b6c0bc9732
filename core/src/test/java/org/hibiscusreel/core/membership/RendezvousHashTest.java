package org.hibiscusreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
  /** Guards against an uneven distribution, and against moving keys of members that remain. */
  @Test
  void distributesEvenlyAndMovesOnlyKeysOfRemovedMembers() {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      hosts.add("host-" + i);
    }
    List<String> remainingHosts = hosts.subList(0, 9);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      String key = "budget-" + i;
      String best = RendezvousHash.rank(hosts, Function.identity(), key).get(0);
      counts.merge(best, 1, Integer::sum);
      if (!best.equals("host-9")) {
        assertThat(RendezvousHash.rank(remainingHosts, Function.identity(), key).get(0))
            .isEqualTo(best);
      }
    }
    assertThat(counts.values()).allMatch(n -> n > 850 && n < 1_150);
    assertThat(RendezvousHash.rank(List.<String>of(), Function.identity(), "k")).isEmpty();
  }
}
