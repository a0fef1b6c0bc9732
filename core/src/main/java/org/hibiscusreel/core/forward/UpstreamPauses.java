package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Times until which upstreams want no requests of this daemon. They are kept apart from the entries
 * of the upstreams, which may lapse and come back before a pause is over. Not thread-safe.
 */
public final class UpstreamPauses {

  /** Number of pauses above which those that are over are removed. */
  private static final int MAX_KEPT = 1_000;

  private final Map<String, Long> endMillisById = new HashMap<>();

  /**
   * Records that an upstream asked for a pause. Of several pauses, the one that ends last holds.
   *
   * @param upstream identity of the upstream
   * @param millis length of the pause in milliseconds
   * @param nowMillis monotonic time in milliseconds
   */
  public void add(String upstream, long millis, long nowMillis) {
    if (endMillisById.size() >= MAX_KEPT) {
      endMillisById.values().removeIf(end -> end <= nowMillis);
    }
    endMillisById.merge(upstream, nowMillis + millis, Math::max);
  }

  /**
   * Returns for how long an upstream still wants no requests.
   *
   * @param upstream identity of the upstream
   * @param nowMillis monotonic time in milliseconds
   * @return milliseconds, 0 if it takes requests
   */
  public long remainingMillis(String upstream, long nowMillis) {
    return Math.max(0, endMillisById.getOrDefault(upstream, nowMillis) - nowMillis);
  }
}
