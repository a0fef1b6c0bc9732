package org.hibiscusreel.daemon.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.hibiscusreel.coordination.forward.DecisionLog;

/** Counts decisions and measures latencies on their way to the log. */
public final class DecisionMetrics implements DecisionLog {

  private static final String[] LATENCIES = {"took_ms", "first_ms"};

  private final MetricRegistry registry = new MetricRegistry();
  private final DecisionLog next;

  /**
   * Creates metrics.
   *
   * @param next receives each decision
   * @throws NullPointerException if the argument is null
   */
  public DecisionMetrics(DecisionLog next) {
    this.next = Objects.requireNonNull(next, "next");
  }

  @Override
  public void record(String event, Map<String, Object> fields) {
    Object outcome = fields.get("outcome");
    String name = outcome == null ? event : event + "." + firstWord(outcome.toString());
    registry.counter(name).inc();
    for (String latency : LATENCIES) {
      if (fields.get(latency) instanceof Long millis && millis >= 0) {
        registry.histogram(event + "." + latency).update(millis);
      }
    }
    next.record(event, fields);
  }

  private static String firstWord(String text) {
    int end = text.indexOf(' ');
    return end < 0 ? text : text.substring(0, end);
  }

  /**
   * Registers a value that is read when the metrics are.
   *
   * @param name name of the metric
   * @param gauge gives the value
   */
  public void register(String name, Gauge<? extends Number> gauge) {
    registry.register(name, gauge);
  }

  /**
   * Returns all metrics as text.
   *
   * @return one line per value: name and value
   */
  public String toText() {
    StringBuilder b = new StringBuilder();
    new TreeMap<>(registry.getMetrics())
        .forEach(
            (name, m) -> {
              if (m instanceof Counter c) {
                line(b, name, c.getCount());
              } else if (m instanceof Gauge<?> g) {
                line(b, name, g.getValue());
              } else if (m instanceof Histogram h) {
                Snapshot s = h.getSnapshot();
                line(b, name + ".count", h.getCount());
                line(b, name + ".p50", s.getMedian());
                line(b, name + ".p95", s.get95thPercentile());
                line(b, name + ".p99", s.get99thPercentile());
                line(b, name + ".max", s.getMax());
              }
            });
    return b.toString();
  }

  private static void line(StringBuilder b, String name, Object value) {
    b.append(name).append(' ').append(value).append('\n');
  }
}
