package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.junit.jupiter.api.Test;

class LimitedUpstreamsTest {

  private static final long WINDOW_MILLIS = 4_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final double ALLOWED_FACTOR = 1.5;
  private static final int ALLOWED_MORE = 5;

  private static void assertWithinLimit(List<Long> sentAtMillis, double perSecond) {
    double allowed = ALLOWED_FACTOR * perSecond * WINDOW_MILLIS / 1_000 + ALLOWED_MORE;
    for (long from : sentAtMillis) {
      long count =
          sentAtMillis.stream().filter(at -> at >= from && at < from + WINDOW_MILLIS).count();
      assertThat((double) count).as("from %s ms", from).isLessThanOrEqualTo(allowed);
    }
  }

  /** Guards against requests beyond the limit that an upstream has named. */
  @Test
  void sendsNoMoreThanTheLimitThatAnUpstreamNames() {
    ForwardHarness h = new ForwardHarness(RetryPolicy.REPEATABLE, false, 2, 2);
    Map<String, List<Long>> sentAt = new HashMap<>();
    while (h.scheduler.nowMillis() < 20_000) {
      int before = h.sent.size();
      h.serve(ForwardHarness.plain("/a/x", "key"));
      h.scheduler.run(30);
      for (ForwardHarness.Sent s : h.sent.subList(before, h.sent.size())) {
        if (h.scheduler.nowMillis() > CONTACT_MILLIS) {
          sentAt
              .computeIfAbsent(s.upstream.id(), u -> new ArrayList<>())
              .add(h.scheduler.nowMillis());
        }
        s.listener.onRequestLimit(new RequestLimit.Limited(2));
        s.respond(200, "ok");
      }
    }
    assertThat(sentAt).isNotEmpty();
    sentAt.values().forEach(list -> assertWithinLimit(list, 2));
  }
}
