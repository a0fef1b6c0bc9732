package org.hibiscusreel.daemon.metrics;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Registry of the metrics of the daemon. */
public final class DaemonMetrics {

  private static final double NANOS_PER_MILLI = 1e6;

  private final MetricRegistry registry = new MetricRegistry();
  private final Timer firstToken = registry.timer("first_token_ms");

  /**
   * Counts a completed request.
   *
   * @param outcome {@code ok}, a problem code, or {@code cancelled}
   */
  public void countRequest(String outcome) {
    registry.counter("requests." + outcome).inc();
  }

  /**
   * Records the time from arrival to the first piece of an answer.
   *
   * @param millis time in milliseconds
   */
  public void recordFirstToken(long millis) {
    firstToken.update(millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Counts the tokens of a complete answer.
   *
   * @param prompt number of prompt tokens
   * @param completion number of generated tokens
   */
  public void countTokens(long prompt, long completion) {
    registry.counter("tokens.prompt").inc(prompt);
    registry.counter("tokens.completion").inc(completion);
  }

  /**
   * Counts a call of the table service.
   *
   * @param operation operation and outcome
   */
  public void countTableCall(String operation) {
    registry.counter("table." + operation).inc();
  }

  /**
   * Registers a gauge, which is read each time the metrics are written.
   *
   * @param name name of the metric
   * @param gauge supplies the value
   */
  public void register(String name, Gauge<? extends Number> gauge) {
    registry.register(name, gauge);
  }

  /**
   * Returns all metrics.
   *
   * @return an object with a field per metric
   */
  public ObjectNode toJson() {
    ObjectNode root = JsonBodies.MAPPER.createObjectNode();
    Map<String, Metric> sorted = new TreeMap<>(registry.getMetrics());
    sorted.forEach(
        (name, m) -> {
          if (m instanceof Timer t) {
            root.set(name, toJson(t));
          } else if (m instanceof Counting c) {
            root.put(name, c.getCount());
          } else if (m instanceof Gauge<?> g) {
            root.putPOJO(name, g.getValue());
          }
        });
    return root;
  }

  private static ObjectNode toJson(Timer timer) {
    Snapshot s = timer.getSnapshot();
    return JsonBodies.MAPPER
        .createObjectNode()
        .put("count", timer.getCount())
        .put("p50", s.getMedian() / NANOS_PER_MILLI)
        .put("p95", s.get95thPercentile() / NANOS_PER_MILLI)
        .put("p99", s.get99thPercentile() / NANOS_PER_MILLI)
        .put("max", s.getMax() / NANOS_PER_MILLI);
  }
}
