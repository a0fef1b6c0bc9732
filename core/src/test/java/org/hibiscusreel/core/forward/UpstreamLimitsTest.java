package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
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
}
