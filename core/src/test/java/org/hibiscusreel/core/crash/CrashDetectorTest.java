package org.hibiscusreel.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;
import org.hibiscusreel.core.crash.CrashDetector.Verdict;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
  private static final long LATER_MILLIS = 60_000;

  private final CrashDetector fingerprints = new CrashDetector();

  /**
   * Guards against blocking unrelated requests that shared the engine with the cause of a crash.
   */
  @Test
  void blocksOnlyTheFingerprintCommonToTwoCrashes() {
    fingerprints.onCrash("e1", Set.of("bad", "a", "b"), false, 1_000);
    assertThat(fingerprints.judge("bad", 3_000)).isEqualTo(Verdict.SUSPECT);
    fingerprints.onCrash("e2", Set.of("bad", "c"), false, 10_000);
    assertThat(fingerprints.judge("bad", 10_100)).isEqualTo(Verdict.UNDECIDED);
    assertThat(fingerprints.judge("bad", LATER_MILLIS)).isEqualTo(Verdict.BLOCKED);
    assertThat(fingerprints.judge("a", LATER_MILLIS)).isEqualTo(Verdict.SUSPECT);
    assertThat(fingerprints.judge("c", LATER_MILLIS)).isEqualTo(Verdict.SUSPECT);
    assertThat(fingerprints.judge("other", LATER_MILLIS)).isEqualTo(Verdict.CLEAR);
  }

  /**
   * Guards against a second crash by a request that is known to have been the only one in flight.
   */
  @Test
  void blocksOnlyRequestInFlight() {
    fingerprints.onCrash("e1", Set.of("bad"), true, 1_000);
    assertThat(fingerprints.judge("bad", 1_001)).isEqualTo(Verdict.BLOCKED);
  }

  /** Guards against counting one crash twice if two daemons report it. */
  @Test
  void mergesReportsOfTheSameCrash() {
    fingerprints.onCrash("e1", Set.of("a"), false, 1_000);
    fingerprints.onReport(List.of(new Sighting("a", "e1", 1_500), new Sighting("b", "e1", 1_500)));
    assertThat(fingerprints.judge("a", LATER_MILLIS)).isEqualTo(Verdict.SUSPECT);
    fingerprints.onReport(List.of(new Sighting("a", "e2", 9_000), new Sighting("b", "e2", 9_000)));
    assertThat(fingerprints.judge("a", LATER_MILLIS)).isEqualTo(Verdict.SUSPECT);
  }

  /** Guards against suspecting requests that completed elsewhere after the crash. */
  @Test
  void clearsCompletedRequests() {
    fingerprints.onCrash("e1", Set.of("a", "bad"), false, 1_000);
    fingerprints.onCompleted("a", 2_000);
    assertThat(fingerprints.judge("a", 3_000)).isEqualTo(Verdict.CLEAR);
    assertThat(fingerprints.judge("bad", 3_000)).isEqualTo(Verdict.SUSPECT);
    assertThat(fingerprints.judge("bad", 1_000 + CrashDetector.RETENTION_MILLIS + 1))
        .isEqualTo(Verdict.CLEAR);
  }
}
