package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscusreel.core.admission.AdaptiveLimit;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.routing.EngineCandidate;
import org.hibiscusreel.core.routing.LoadEstimate;

/** State of one upstream as known to this daemon. */
final class UpstreamState {
  /** Limit of concurrent requests for an upstream whose configuration sets none. */
  private static final int DEFAULT_MAX_CONCURRENT = 1_024;

  private final LoadEstimate load = new LoadEstimate();
  private final List<String> executingFingerprints = new ArrayList<>();
  private final Set<String> suspectFingerprints = new HashSet<>();
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
    return executingFingerprints.size();
  }

  Set<String> executingFingerprints() {
    return Set.copyOf(executingFingerprints);
  }

  boolean hasSuspect() {
    return !suspectFingerprints.isEmpty();
  }

  boolean hasFreeSlot() {
    return inFlight() < limit();
  }

  void begin(String fingerprint, boolean suspect) {
    executingFingerprints.add(fingerprint);
    if (suspect) {
      suspectFingerprints.add(fingerprint);
    }
  }

  void end(String fingerprint) {
    executingFingerprints.remove(fingerprint);
    suspectFingerprints.remove(fingerprint);
  }

  void onFirstPieceDelay(long millis, long now) {
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
    return upstream.maxConcurrent() > 0 ? upstream.maxConcurrent() : DEFAULT_MAX_CONCURRENT;
  }
}
