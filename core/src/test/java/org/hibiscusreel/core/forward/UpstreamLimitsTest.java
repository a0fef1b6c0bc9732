package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamLimitsTest {

  private static final RequestLimit UNLIMITED = new RequestLimit.Unlimited();

  private final UpstreamLimits limits = new UpstreamLimits();

  private static RequestLimit limit(double perSecond) {
    return new RequestLimit.Limited(perSecond);
  }

  @Test
  void followsWhatResponsesSay() {
    assertThat(limits.onResponse("u", UNLIMITED, 0, 10)).isFalse();
    assertThat(limits.onResponse("u", limit(2), 10, 20)).isTrue();
    assertThat(limits.onResponse("u", limit(2), 20, 30)).isFalse();
    assertThat(limits.onResponse("u", limit(3), 30, 40)).isTrue();
    assertThat(limits.perSecond("u")).isEqualTo(OptionalDouble.of(3));
    assertThat(limits.onResponse("u", UNLIMITED, 50, 60)).isTrue();
    assertThat(limits.perSecond("u")).isEmpty();
  }

  /** Guards against a limit that ends by a response that is older than the limit. */
  @Test
  void keepsLimitAgainstResponseToEarlierRequest() {
    limits.onResponse("u", limit(2), 10, 20);
    assertThat(limits.onResponse("u", UNLIMITED, 15, 25)).isFalse();
    assertThat(limits.perSecond("u")).isPresent();
  }

  /** Guards against a limit that is lost or invented because it can't be read. */
  @Test
  void ignoresInvalidLimits() {
    assertThat(limits.onResponse("u", new RequestLimit.Invalid("x"), 0, 10)).isFalse();
    assertThat(limits.perSecond("u")).isEmpty();
    limits.onResponse("u", limit(2), 10, 20);
    assertThat(limits.onResponse("u", new RequestLimit.Invalid("x"), 30, 40)).isFalse();
    assertThat(limits.perSecond("u")).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void forgetsRemovedUpstreams() {
    limits.onResponse("u", limit(2), 10, 20);
    limits.onRemoved(List.of("u", "other"));
    assertThat(limits.count()).isZero();
  }

  private static UpstreamLimits.Report report(double perSecond, long ageMillis, long sent) {
    return new UpstreamLimits.Report("u", OptionalDouble.of(perSecond), ageMillis, sent);
  }

  /** Guards against reports that are lost or come twice and distort the count of requests. */
  @Test
  void takesRequestsOfOthersOnce() {
    limits.onResponse("u", limit(1), 0, 0);
    limits.onReport("d", List.of(report(1, 0, 1)), true, 1_000);
    limits.onReport("d", List.of(report(1, 0, 1)), true, 1_000);
    assertThat(limits.waitMillis("u", 1, 1_500)).isEqualTo(500);
    limits.onReport("d", List.of(report(1, 0, 2)), true, 1_500);
    assertThat(limits.waitMillis("u", 1, 2_000)).isEqualTo(1_000);
  }

  /** Guards against a daemon that takes the part of those that it does not hear. */
  @Test
  void takesOnlyItsShare() {
    limits.onResponse("u", limit(2), 0, 0);
    assertThat(limits.waitMillis("u", 0.25, 0)).isEqualTo(2_000);
    assertThat(limits.waitMillis("u", 1, 0)).isEqualTo(500);
    assertThat(limits.waitMillis("u", 0, 0)).isGreaterThan(1_000_000);
    assertThat(limits.waitMillis("other", 0, 0)).isZero();
  }

  /** Guards against a division by zero, and against an upstream that is never asked again. */
  @Test
  void triesUpstreamWithLimitOfZeroNowAndThen() {
    limits.onResponse("u", limit(0), 0, 0);
    long wait = limits.waitMillis("u", 1, 0);
    assertThat(wait).isEqualTo((long) (1_000 / UpstreamLimits.MIN_PER_SECOND));
    assertThat(limits.waitMillis("u", 1, wait)).isZero();
  }

  /** Guards against a limit that an upstream which is hardly used keeps for ever. */
  @Test
  void forgetsLimitThatIsNotNamedAnyMore() {
    limits.onResponse("u", limit(0), 0, 0);
    long now = UpstreamLimits.EXPIRY_MILLIS + 1;
    assertThat(limits.waitMillis("u", 1, now)).isZero();
    assertThat(limits.toReport(9, now)).isEmpty();
    assertThat(limits.isEmpty()).isTrue();
  }

  /** Guards against an older statement of another daemon that replaces a newer one. */
  @Test
  void keepsNewerStatement() {
    limits.onResponse("u", limit(2), 0, 5_000);
    limits.onReport("d", List.of(report(9, 3_000, 0)), true, 6_000);
    assertThat(limits.perSecond("u")).isEqualTo(OptionalDouble.of(2));
    limits.onReport("d", List.of(report(9, 100, 0)), true, 6_000);
    assertThat(limits.perSecond("u")).isEqualTo(OptionalDouble.of(9));
  }

  /** Guards against reports that do not fit into a datagram, and upstreams that are left out. */
  @Test
  void reportsAllLimitsInTurn() {
    for (int i = 0; i < 100; i++) {
      limits.onResponse("u" + i, limit(2), 0, 0);
    }
    Set<String> reported = new HashSet<>();
    for (int i = 0; i < 10; i++) {
      List<UpstreamLimits.Report> part = limits.toReport(10, 10 + i);
      assertThat(part).hasSize(10);
      part.forEach(r -> reported.add(r.upstream()));
    }
    assertThat(reported).hasSize(100);
    limits.onSent("u7");
    assertThat(limits.toReport(1, 100))
        .extracting(UpstreamLimits.Report::upstream)
        .containsExactly("u7");
  }

  /** Guards against an upstream that lies idle because its room is saved for too long. */
  @Test
  void hasMostSpareRoomAfterPause() {
    limits.onResponse("u", limit(4), 0, 0);
    assertThat(limits.spareFraction("u", 1, 0)).isZero();
    assertThat(limits.spareFraction("u", 1, 875)).isEqualTo(0.5);
    assertThat(limits.spareFraction("u", 1, 60_000)).isEqualTo(1);
    assertThat(limits.spareFraction("other", 1, 0)).isEqualTo(1);
  }
}
