package org.hibiscusreel.bench.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of one phase of the benchmark. Times are recorded in microseconds. */
final class LoadStatistics {

  private static final double MICROS_PER_MILLI = 1000;
  private static final long MAX_MICROS = 600_000_000L;

  final Histogram firstToken = new Histogram(MAX_MICROS, 3);
  final Histogram betweenTokens = new Histogram(MAX_MICROS, 3);
  private final Map<String, Long> errors = new TreeMap<>();
  private long requests;
  private long completeResponses;
  private long tokens;

  void recordRequest() {
    requests++;
  }

  void recordToken(Histogram histogram, long micros) {
    tokens++;
    histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  void recordCompleteResponse() {
    completeResponses++;
  }

  void recordError(String error) {
    errors.merge(error, 1L, Long::sum);
  }

  long completeResponseCount() {
    return completeResponses;
  }

  long tokenCount() {
    return tokens;
  }

  /** Returns the results as lines of text. */
  String toText(String name, double seconds) {
    return formatLatencies(name + " first token", firstToken)
        + formatLatencies(name + " between tokens", betweenTokens)
        + String.format(
            Locale.ROOT,
            "%-24s %d sent, %d complete, %.1f requests/s, %.0f tokens/s, errors %s%n",
            name,
            requests,
            completeResponses,
            completeResponses / seconds,
            tokens / seconds,
            errors);
  }

  private static String formatLatencies(String name, Histogram histogram) {
    return String.format(
        Locale.ROOT,
        "%-24s p50 %.2f ms, p95 %.2f ms, p99 %.2f ms%n",
        name,
        histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
        histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }
}
