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

/** Decision log that counts decisions and records their latencies before it passes them on. */
public final class DecisionMetrics implements DecisionLog {

  private static final String[] LATENCY_FIELDS = {"took_ms", "first_ms"};

  private final MetricRegistry registry = new MetricRegistry();
  private final DecisionLog next;

  /**
   * Creates metrics without values.
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
    if (fields.get("source") instanceof String source) {
      registry.counter(event + ".source." + source).inc();
    }
    for (String latency : LATENCY_FIELDS) {
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
   * Registers a gauge, which is read each time the metrics are written.
   *
   * @param name name of the metric
   * @param gauge supplies the value
   */
  public void register(String name, Gauge<? extends Number> gauge) {
    registry.register(name, gauge);
  }

  /**
   * Returns all metrics as text.
   *
   * @return one line per value, with its name and the value
   */
  public String toText() {
    StringBuilder text = new StringBuilder();
    new TreeMap<>(registry.getMetrics())
        .forEach(
            (name, m) -> {
              if (m instanceof Counter c) {
                appendLine(text, name, c.getCount());
              } else if (m instanceof Gauge<?> g) {
                appendLine(text, name, g.getValue());
              } else if (m instanceof Histogram h) {
                Snapshot s = h.getSnapshot();
                appendLine(text, name + ".count", h.getCount());
                appendLine(text, name + ".p50", s.getMedian());
                appendLine(text, name + ".p95", s.get95thPercentile());
                appendLine(text, name + ".p99", s.get99thPercentile());
                appendLine(text, name + ".max", s.getMax());
              }
            });
    return text.toString();
  }

  private static void appendLine(StringBuilder text, String name, Object value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
