package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UpstreamLoadTest {

  private final UpstreamLoad load = new UpstreamLoad();

  @Test
  void countsRequestsAndPendingPromptTokens() {
    load.onSent(100);
    load.onSent(50);
    load.onPrefillEnded(100);
    load.onEnded();
    assertThat(load.inFlight()).isEqualTo(1);
    assertThat(load.pendingPrefillTokens()).isEqualTo(50);
  }

  @Test
  void doublesSuspensionUpToTheMaximum() {
    load.onFailure(0);
    assertThat(load.isSuspended(UpstreamLoad.FIRST_SUSPENSION_MILLIS - 1)).isTrue();
    assertThat(load.isSuspended(UpstreamLoad.FIRST_SUSPENSION_MILLIS)).isFalse();
    load.onFailure(0);
    assertThat(load.isSuspended(2 * UpstreamLoad.FIRST_SUSPENSION_MILLIS - 1)).isTrue();
    for (int i = 0; i < 40; i++) {
      load.onFailure(0);
    }
    assertThat(load.isSuspended(UpstreamLoad.MAX_SUSPENSION_MILLIS - 1)).isTrue();
    assertThat(load.isSuspended(UpstreamLoad.MAX_SUSPENSION_MILLIS)).isFalse();
  }

  @Test
  void endsSuspensionAfterSuccess() {
    load.onFailure(0);
    load.onSuccess();
    assertThat(load.isSuspended(0)).isFalse();
    assertThat(load.hasFailed(0)).isFalse();
  }

  @Test
  void endsSuspensionWhoseCauseWasNotTheUpstream() {
    load.onFailure(0);
    load.forgetFailures();
    assertThat(load.isSuspended(0)).isFalse();
    load.onFailure(0);
    assertThat(load.isSuspended(UpstreamLoad.FIRST_SUSPENSION_MILLIS)).isFalse();
  }

  /** Guards against taking an upstream that is silent for a second for one that has ended. */
  @Test
  void suspendsSilentUpstreamWithoutTakingItForFailed() {
    load.onSilence(0);
    assertThat(load.isSuspended(0)).isTrue();
    assertThat(load.hasFailed(0)).isFalse();
    load.onFailure(0);
    assertThat(load.hasFailed(2 * UpstreamLoad.FIRST_SUSPENSION_MILLIS - 1)).isTrue();
    load.onSilence(0);
    assertThat(load.isSuspended(2 * UpstreamLoad.FIRST_SUSPENSION_MILLIS)).isTrue();
    assertThat(load.hasFailed(2 * UpstreamLoad.FIRST_SUSPENSION_MILLIS)).isFalse();
  }
}
