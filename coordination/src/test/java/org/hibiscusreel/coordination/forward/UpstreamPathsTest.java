package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.junit.jupiter.api.Test;

class UpstreamPathsTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final List<String> probed = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private List<UpstreamEntry> known = List.of(entry("a"), entry("b"), entry("c"));
  private boolean isReachable;
  private int begun;
  private final UpstreamPaths paths =
      new UpstreamPaths(
          scheduler,
          () -> known,
          this::probe,
          () -> begun++,
          () -> 0,
          (event, fields) -> log.add(event + " " + Map.copyOf(fields).size()));

  private static UpstreamEntry entry(String id) {
    return new UpstreamEntry(id, "s", id, "here", false, 4, 0);
  }

  private CompletableFuture<Boolean> probe(String address) {
    probed.add(address);
    return CompletableFuture.completedFuture(isReachable);
  }

  private void isolate() {
    paths.onConnectFailed("a");
    paths.onConnectFailed("b");
  }

  /** Guards against a few crashed upstreams that are taken for a path that has failed. */
  @Test
  void triesOtherUpstreamsBeforeItCountsAsIsolated() {
    isReachable = true;
    isolate();
    assertThat(probed.get(0)).isEqualTo("c");
    assertThat(paths.isIsolated()).isFalse();
    assertThat(begun).isZero();
    assertThat(log).isEmpty();
  }

  @Test
  void probesUntilAnUpstreamIsReached() {
    paths.onPeers(List.of("p"));
    assertThat(paths.relay(Set.of())).isEmpty();
    isolate();
    assertThat(paths.relay(Set.of())).contains("p");
    scheduler.run(2 * UpstreamPaths.PROBE_INTERVAL_MILLIS);
    assertThat(probed).hasSize(9);
    isReachable = true;
    scheduler.run(UpstreamPaths.PROBE_INTERVAL_MILLIS);
    assertThat(paths.isIsolated()).isFalse();
    assertThat(paths.relay(Set.of())).isEmpty();
    scheduler.run(10 * UpstreamPaths.PROBE_INTERVAL_MILLIS);
    assertThat(probed).hasSize(12);
    assertThat(begun).isEqualTo(1);
    assertThat(log).containsExactly("isolated 3", "isolation_ended 2");
  }

  /** Guards against an isolation that never ends, because the store listed no upstream. */
  @Test
  void goesOnProbingAfterNoUpstreamWasKnown() {
    final List<UpstreamEntry> all = known;
    isolate();
    known = List.of();
    scheduler.run(2 * UpstreamPaths.PROBE_INTERVAL_MILLIS);
    known = all;
    isReachable = true;
    scheduler.run(UpstreamPaths.PROBE_INTERVAL_MILLIS);
    assertThat(paths.isIsolated()).isFalse();
  }

  @Test
  void hasNoPathWhileIsolatedWithoutRelay() {
    assertThat(paths.hasPath()).isTrue();
    isolate();
    assertThat(paths.hasPath()).isFalse();
    assertThat(paths.isStranded()).isTrue();
    paths.onPeers(List.of("p"));
    assertThat(paths.hasPath()).isTrue();
    assertThat(paths.isStranded()).isFalse();
    paths.onRelayUnusable("p", "isolated");
    assertThat(paths.hasPath()).isFalse();
    scheduler.run(1_000);
    assertThat(paths.hasPath()).isTrue();
    assertThat(paths.isStranded()).isTrue();
    paths.onRelayed("p");
    assertThat(paths.isStranded()).isFalse();
  }
}
