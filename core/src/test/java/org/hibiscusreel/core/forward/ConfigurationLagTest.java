package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConfigurationLagTest {

  private final ConfigurationLag lag = new ConfigurationLag();

  @Test
  void isZeroWhileNoNewerVersionIsKnown() {
    lag.onOwnVersion(7);
    lag.onPeerVersion(7, 100);
    lag.onPeerVersion(6, 100);
    assertThat(lag.lagMillis(5_000)).isZero();
  }

  @Test
  void countsFromTheFirstNewerVersion() {
    lag.onOwnVersion(7);
    lag.onPeerVersion(9, 1_000);
    lag.onPeerVersion(8, 1_200);
    lag.onPeerVersion(9, 2_000);
    lag.onPeerVersion(9, 2_800);
    assertThat(lag.lagMillis(3_000)).isEqualTo(2_000);
    lag.onOwnVersion(9);
    assertThat(lag.lagMillis(3_000)).isZero();
  }

  /** Guards against a daemon that stays behind a series of changes and never notices. */
  @Test
  void countsFromTheFirstVersionThatIsStillNewer() {
    for (int i = 0; i < 10 * ConfigurationLag.MAX_VERSIONS; i++) {
      lag.onPeerVersion(i + 1L, 100L * i);
    }
    assertThat(lag.lagMillis(64_000)).isEqualTo(64_000);
    lag.onOwnVersion(3);
    assertThat(lag.lagMillis(64_000)).isEqualTo(63_700);
  }

  /**
   * Guards against a fleet that refuses everything because one daemon got a change just before the
   * store went away.
   */
  @Test
  void isZeroWhenNoOtherDaemonConfirmsItsVersionAnyMore() {
    lag.onOwnVersion(7);
    lag.onPeerVersion(9, 1_000);
    long silentAt = 1_000 + ConfigurationLag.MAX_SILENCE_MILLIS;
    lag.onPeerVersion(0, silentAt);
    assertThat(lag.lagMillis(silentAt)).isEqualTo(ConfigurationLag.MAX_SILENCE_MILLIS);
    assertThat(lag.lagMillis(silentAt + 1)).isZero();
    lag.onPeerVersion(9, silentAt + 500);
    assertThat(lag.lagMillis(silentAt + 600)).isEqualTo(100);
  }
}
