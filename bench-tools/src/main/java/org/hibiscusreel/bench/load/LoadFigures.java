package org.hibiscusreel.bench.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Figures of one phase of the load; times are recorded in microseconds. */
final class LoadFigures {

  private static final double MICROS_PER_MILLI = 1000;
  private static final long MAX_MICROS = 600_000_000L;

  final Histogram firstToken = new Histogram(MAX_MICROS, 3);
  final Histogram betweenTokens = new Histogram(MAX_MICROS, 3);
  private final Map<String, Long> errors = new TreeMap<>();
  private long requests;
  private long whole;
  private long tokens;

  void request() {
    requests++;
  }

  void token(Histogram histogram, long micros) {
    tokens++;
    histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  void whole() {
    whole++;
  }

  void error(String what) {
    errors.merge(what, 1L, Long::sum);
  }

  long wholeCount() {
    return whole;
  }

  long tokenCount() {
    return tokens;
  }

  /** Returns the figures as text lines. */
  String toText(String name, double seconds) {
    return line(name + " first token", firstToken)
        + line(name + " between tokens", betweenTokens)
        + String.format(
            Locale.ROOT,
            "%-24s %d sent, %d whole, %.1f requests/s, %.0f tokens/s, errors %s%n",
            name,
            requests,
            whole,
            whole / seconds,
            tokens / seconds,
            errors);
  }

  private static String line(String name, Histogram h) {
    return String.format(
        Locale.ROOT,
        "%-24s p50 %.2f ms, p95 %.2f ms, p99 %.2f ms%n",
        name,
        h.getValueAtPercentile(50) / MICROS_PER_MILLI,
        h.getValueAtPercentile(95) / MICROS_PER_MILLI,
        h.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }
}
