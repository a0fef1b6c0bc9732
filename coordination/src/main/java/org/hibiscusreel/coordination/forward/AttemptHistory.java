package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.List;
import org.hibiscusreel.core.forward.AttemptProgress;

/** What the attempts of one request came to, for its log line. */
final class AttemptHistory {

  private final List<String> results = new ArrayList<>();
  private final List<String> progress = new ArrayList<>();

  /** Adds an attempt that ended some milliseconds after the arrival of the request. */
  void add(String upstream, long afterMillis, String result, AttemptProgress reached) {
    results.add(upstream + "@" + afterMillis + " " + result);
    progress.add(reached.name());
  }

  /** Returns the upstream, time and result of each attempt. */
  List<String> results() {
    return List.copyOf(results);
  }

  /** Returns how far the upstream of each attempt got. */
  List<String> progress() {
    return List.copyOf(progress);
  }
}
