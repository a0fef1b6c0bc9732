package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DecisionMetricsTest {

  @Test
  void countsOutcomesAndMeasuresLatencies() {
    List<String> passedOn = new ArrayList<>();
    DecisionMetrics metrics = new DecisionMetrics((event, fields) -> passedOn.add(event));
    metrics.record("request", Map.of("outcome", "status 200", "took_ms", 40L, "first_ms", -1L));
    metrics.record("request", Map.of("outcome", "status 500", "took_ms", 60L));
    metrics.record("stream_origin", Map.of("source", "view", "outcome", "v1"));
    metrics.record("stop", Map.of());
    metrics.register("upstreams.age_ms", () -> 12);
    assertThat(metrics.toText().lines())
        .contains(
            "request.status 2",
            "request.took_ms.count 2",
            "request.took_ms.max 60",
            "stop 1",
            "stream_origin.source.view 1",
            "upstreams.age_ms 12")
        .noneMatch(l -> l.startsWith("request.first_ms"));
    assertThat(passedOn).containsExactly("request", "request", "stream_origin", "stop");
  }
}
