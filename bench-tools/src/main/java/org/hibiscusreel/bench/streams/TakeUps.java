package org.hibiscusreel.bench.streams;

import java.util.Map;
import java.util.TreeMap;

/** Counts what became of streams that were taken up, by kind of trouble and result. */
final class TakeUps {

  private final Map<String, Map<String, Long>> counts = new TreeMap<>();

  void add(String trouble, String result) {
    counts.computeIfAbsent(trouble, t -> new TreeMap<>()).merge(result, 1L, Long::sum);
  }

  void add(TakeUps other) {
    other.counts.forEach(
        (t, m) ->
            m.forEach(
                (r, n) -> counts.computeIfAbsent(t, k -> new TreeMap<>()).merge(r, n, Long::sum)));
  }

  Map<String, Map<String, Long>> counts() {
    return counts;
  }
}
