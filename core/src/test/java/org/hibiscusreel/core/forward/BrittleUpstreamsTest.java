package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class BrittleUpstreamsTest {

  private static final RejectionTolerance TWO = new RejectionTolerance.Bounded(2);
  private static final RejectionTolerance NONE = new RejectionTolerance.Unbounded();
  private static final BrittleShare ALONE = new BrittleShare(1, 0, true, 50);

  private final BrittleUpstreams brittle = new BrittleUpstreams();
  private final UpstreamEntry first = upstream("u", 1);

  private static UpstreamEntry upstream(String id, long startedAtMillis) {
    return new UpstreamEntry(id, "s", "10.0.0.1:80", "z", false, 6, startedAtMillis);
  }

  private boolean admits(UpstreamEntry upstream, int own, long nowMillis) {
    return brittle.admits(upstream, new BrittleUse(own, 0, 6), ALONE, 0, nowMillis);
  }

  /** Guards against bounds on upstreams that never said that they are brittle. */
  @Test
  void keepsNothingWithoutBrittleUpstreams() {
    assertThat(brittle.onResponse(first, NONE, 0, 0)).isFalse();
    brittle.onSent(first, new BrittleUse(0, 0, 6), ALONE, 0);
    assertThat(brittle.isEmpty()).isTrue();
    assertThat(brittle.toReport(9, 0)).isEmpty();
    assertThat(admits(first, 99, 0)).isTrue();
  }

  /** Guards against an end that a response overtaken by a later one seems to show. */
  @Test
  void endsOnlyWithResponsesToLaterRequests() {
    assertThat(brittle.onResponse(first, TWO, 0, 100)).isTrue();
    assertThat(brittle.onResponse(first, TWO, 0, 110)).isFalse();
    assertThat(brittle.onResponse(first, new RejectionTolerance.Invalid("x"), 200, 210)).isFalse();
    assertThat(brittle.onResponse(first, NONE, 110, 220)).isFalse();
    assertThat(admits(first, 6, 220)).isFalse();
    assertThat(brittle.onResponse(first, NONE, 111, 230)).isTrue();
    assertThat(admits(first, 6, 230)).isTrue();
    assertThat(brittle.count()).isZero();
  }

  /** Guards against a new instance that ends before its first response says that it is brittle. */
  @Test
  void takesNewInstancesOfTheServiceForBrittle() {
    brittle.onResponse(first, TWO, 0, 0);
    brittle.onRejected(first, new BrittleUse(5, 0, 6), 0);
    for (UpstreamEntry other : List.of(upstream("u", 2), upstream("v", 1))) {
      assertThat(brittle.tolerance(other, 100)).hasValue(2);
      assertThat(admits(other, 2, 0)).isTrue();
      assertThat(admits(other, 3, 0)).isFalse();
      brittle.onResponse(other, NONE, 100, 110);
      assertThat(admits(other, 6, 120)).isTrue();
    }
    assertThat(brittle.onResponse(first, TWO, 0, 200)).as("an earlier instance").isFalse();
    assertThat(brittle.tolerance(upstream("w", 1), BrittleUpstreams.SERVICE_EXPIRY_MILLIS + 1))
        .isEmpty();
  }

  /** Guards against upstreams of a service that one after the other turn out to be smaller. */
  @Test
  void expectsLittleMoreRoomAtOtherUpstreamsOfTheService() {
    UpstreamEntry second = upstream("v", 1);
    List.of(first, second).forEach(u -> brittle.onResponse(u, TWO, 0, 0));
    brittle.onRejected(first, new BrittleUse(21, 0, 30), 0);
    assertThat(brittle.admits(second, new BrittleUse(19, 0, 30), ALONE, 0, 0)).isTrue();
    assertThat(brittle.admits(second, new BrittleUse(20, 0, 30), ALONE, 0, 0)).isFalse();
  }

  /** Guards against daemons that do not hold back together, and reports that count twice. */
  @Test
  void tellsOthersOfToleranceAndRejections() {
    brittle.onResponse(first, TWO, 0, 0);
    brittle.onRejected(first, new BrittleUse(2, 4, 6), 1_000);
    List<BrittleUpstreams.Report> reports = brittle.toReport(9, 1_000);
    assertThat(reports)
        .containsExactly(new BrittleUpstreams.Report("u", "s", 1, OptionalInt.of(2), 1_000, 4, 1));
    BrittleUpstreams other = new BrittleUpstreams();
    other.onReport("a", reports, 5_000);
    other.onReport("a", reports, 5_500);
    assertThat(other.tolerance(first, 5_500)).hasValue(2);
    assertThat(other.remainingMillis(first, 5_500)).isEqualTo(600);
    assertThat(other.admits(first, new BrittleUse(3, 1, 6), ALONE, 0, 6_100)).isTrue();
    assertThat(other.admits(first, new BrittleUse(3, 2, 6), ALONE, 0, 6_100)).isFalse();
  }

  @Test
  void forgetsWhatIsNoLongerSaidOrRemoved() {
    brittle.onResponse(first, TWO, 0, 0);
    brittle.onResponse(upstream("v", 1), TWO, 0, 0);
    brittle.onRemoved(List.of("v"));
    assertThat(brittle.toReport(9, BrittleUpstreams.EXPIRY_MILLIS)).hasSize(1);
    assertThat(brittle.tolerance(first, BrittleUpstreams.EXPIRY_MILLIS + 1)).isEmpty();
    assertThat(brittle.toReport(9, BrittleUpstreams.EXPIRY_MILLIS + 1)).isEmpty();
    assertThat(brittle.isEmpty()).isTrue();
  }
}
