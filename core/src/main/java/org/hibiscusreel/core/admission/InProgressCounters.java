package org.hibiscusreel.core.admission;

import java.util.HashMap;
import java.util.Map;

/** Counters of requests in progress by name, with limits. Names without requests use no memory. */
public final class InProgressCounters {
  private final Map<String, Integer> counts = new HashMap<>();

  /**
   * Counts a request if the limit allows it.
   *
   * @param name client account, model or upstream
   * @param limit largest number in progress, 0 for no limit
   * @return false if the limit is reached
   */
  public boolean tryAcquire(String name, int limit) {
    int n = get(name);
    if (limit > 0 && n >= limit) {
      return false;
    }
    counts.put(name, n + 1);
    return true;
  }

  /**
   * Removes a request from its counter.
   *
   * @param name name under which the request was counted
   */
  public void release(String name) {
    counts.computeIfPresent(name, (k, n) -> n > 1 ? n - 1 : null);
  }

  /**
   * Returns the number of requests in progress.
   *
   * @param name the name
   * @return 0 or more
   */
  public int get(String name) {
    return counts.getOrDefault(name, 0);
  }
}
