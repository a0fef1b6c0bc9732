package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscusreel.core.admission.AdaptiveLimit;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.routing.EngineCandidate;
import org.hibiscusreel.core.routing.LoadEstimate;

/** What this daemon knows of one upstream. */
final class UpstreamState {
  /** Limit for an upstream whose configuration states none. */
  private static final int DEFAULT_LIMIT = 1_024;

  private final LoadEstimate load = new LoadEstimate();
  private final List<String> executing = new ArrayList<>();
  private final Set<String> suspects = new HashSet<>();
  private final AdaptiveLimit limit;
  private Upstream upstream;

  UpstreamState(Upstream upstream) {
    this.upstream = upstream;
    this.limit = new AdaptiveLimit(maxConcurrent());
  }

  Upstream upstream() {
    return upstream;
  }

  void update(Upstream next) {
    upstream = next;
  }

  LoadEstimate load() {
    return load;
  }

  int inFlight() {
    return executing.size();
  }

  Set<String> cohort() {
    return Set.copyOf(executing);
  }

  boolean hasSuspect() {
    return !suspects.isEmpty();
  }

  boolean hasRoom() {
    return inFlight() < limit();
  }

  void begin(String fingerprint, boolean suspect) {
    executing.add(fingerprint);
    if (suspect) {
      suspects.add(fingerprint);
    }
  }

  void end(String fingerprint) {
    executing.remove(fingerprint);
    suspects.remove(fingerprint);
  }

  void onDelay(long millis, long now) {
    load.onDelay(millis, now);
    limit.onDelay(millis, maxConcurrent(), now);
  }

  void onRefusal(long now) {
    limit.onRefusal(now);
  }

  EngineCandidate candidate(double prefixMatch, long now) {
    return new EngineCandidate(
        upstream.name(),
        upstream.failureDomain(),
        inFlight(),
        limit(),
        load.load(inFlight(), now),
        load.capacity(maxConcurrent()),
        load.delayMillis(now),
        prefixMatch);
  }

  private int limit() {
    return limit.get(maxConcurrent());
  }

  private int maxConcurrent() {
    return upstream.maxConcurrent() > 0 ? upstream.maxConcurrent() : DEFAULT_LIMIT;
  }
}
