package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class RelayPeersTest {

  private final RelayPeers peers = new RelayPeers(new AtomicLong()::getAndIncrement);

  @Test
  void spreadsRequestsOverDaemonsThatAreNotAvoided() {
    peers.onPeers(List.of("a", "b", "c"));
    peers.onUnusable("b", 0);
    assertThat(peers.choose(Set.of(), 0)).contains("a");
    assertThat(peers.choose(Set.of(), 0)).contains("c");
    assertThat(peers.choose(Set.of("a"), 0)).contains("c");
    assertThat(peers.choose(Set.of("a", "c"), 0)).isEmpty();
    assertThat(peers.choose(Set.of("a", "c"), RelayPeers.AVOIDED_MILLIS)).contains("b");
  }

  /** Guards against a daemon that turns ready again whenever it may ask the next relay. */
  @Test
  void countsAsNotWorkingUntilOneRelayed() {
    assertThat(peers.isNoneWorking()).isTrue();
    peers.onPeers(List.of("a", "b"));
    assertThat(peers.isNoneWorking()).isFalse();
    peers.onUnusable("a", 0);
    assertThat(peers.isNoneWorking()).isFalse();
    peers.onUnusable("b", 0);
    assertThat(peers.hasUsable(0)).isFalse();
    assertThat(peers.hasUsable(RelayPeers.AVOIDED_MILLIS)).isTrue();
    assertThat(peers.isNoneWorking()).isTrue();
    peers.onRelayed("a");
    assertThat(peers.isNoneWorking()).isFalse();
    assertThat(peers.hasUsable(0)).isTrue();
  }
}
