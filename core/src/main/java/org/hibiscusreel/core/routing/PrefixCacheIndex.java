package org.hibiscusreel.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt prefixes that engines have cached, from their events and from own dispatches.
 * Events come late and with gaps: after a gap the older entries of that engine count half, since an
 * eviction may have been missed. Memory is bounded; the prefixes unused for longest are dropped.
 * Not thread-safe.
 */
public final class PrefixCacheIndex {
  private static final double STALE_WEIGHT = 0.5;
  private static final int MAX_ENGINES_PER_PREFIX = 8;

  private static final class EngineState {
    long lastSeq = -1;
    int generation;
  }

  private final Map<String, Map<String, Integer>> engines;
  private final Map<String, EngineState> states = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param maxPrefixes largest number of prefixes, positive
   */
  public PrefixCacheIndex(int maxPrefixes) {
    if (maxPrefixes < 1) {
      throw new IllegalArgumentException("maxPrefixes must be positive, but is " + maxPrefixes);
    }
    this.engines =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Map<String, Integer>> eldest) {
            return size() > maxPrefixes;
          }
        };
  }

  /**
   * Takes a cache event. Events older than the last one are ignored.
   *
   * @param engine name of the engine
   * @param seq sequence number of the event
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  public void onEvent(String engine, long seq, boolean stored, String prefix) {
    EngineState s = states.computeIfAbsent(engine, k -> new EngineState());
    if (seq <= s.lastSeq) {
      return;
    }
    if (s.lastSeq >= 0 && seq != s.lastSeq + 1) {
      s.generation++;
    }
    s.lastSeq = seq;
    if (stored) {
      put(engine, prefix, s.generation);
    } else {
      remove(engine, prefix);
    }
  }

  /**
   * Takes into account that a prompt was sent to an engine, which will cache its prefixes.
   *
   * @param engine name of the engine
   * @param prefixes hashes of growing prefixes, shortest first
   */
  public void onDispatch(String engine, List<String> prefixes) {
    EngineState s = states.computeIfAbsent(engine, k -> new EngineState());
    prefixes.forEach(p -> put(engine, p, s.generation));
  }

  /**
   * Forgets an engine, for example after it restarted.
   *
   * @param engine name of the engine
   */
  public void forget(String engine) {
    states.remove(engine);
    engines.values().forEach(m -> m.remove(engine));
    engines.values().removeIf(Map::isEmpty);
  }

  private void put(String engine, String prefix, int generation) {
    Map<String, Integer> m = engines.computeIfAbsent(prefix, k -> new LinkedHashMap<>());
    m.remove(engine);
    m.put(engine, generation);
    if (m.size() > MAX_ENGINES_PER_PREFIX) {
      m.remove(m.keySet().iterator().next());
    }
  }

  private void remove(String engine, String prefix) {
    Map<String, Integer> m = engines.get(prefix);
    if (m != null) {
      m.remove(engine);
      if (m.isEmpty()) {
        engines.remove(prefix);
      }
    }
  }

  /**
   * Returns the share of a prompt that an engine has cached.
   *
   * @param engine name of the engine
   * @param prefixes hashes of growing prefixes, shortest first
   * @return 0 to 1
   */
  public double match(String engine, List<String> prefixes) {
    EngineState s = states.get(engine);
    if (s == null) {
      return 0;
    }
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      Map<String, Integer> m = engines.get(prefixes.get(i));
      Integer generation = m == null ? null : m.get(engine);
      if (generation != null) {
        double share = (i + 1.0) / prefixes.size();
        return generation == s.generation ? share : share * STALE_WEIGHT;
      }
    }
    return 0;
  }

  /**
   * Returns the last event seen of an engine.
   *
   * @param engine name of the engine
   * @return its sequence number, or 0 if none was seen
   */
  public long lastSeq(String engine) {
    EngineState s = states.get(engine);
    return s == null ? 0 : Math.max(0, s.lastSeq);
  }

  /**
   * Returns the number of prefixes held.
   *
   * @return 0 to the maximum
   */
  public int size() {
    return engines.size();
  }
}
