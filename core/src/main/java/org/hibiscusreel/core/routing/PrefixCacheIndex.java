package org.hibiscusreel.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt prefixes that engines have cached, built from their cache events and this
 * daemon's own dispatches. Events may be delayed or lost: after a gap in the sequence, the older
 * entries of the engine count half, since an eviction may have been missed. The size is bounded;
 * the least recently used prefixes are dropped. Not thread-safe.
 */
public final class PrefixCacheIndex {
  private static final double STALE_WEIGHT = 0.5;
  private static final int MAX_ENGINES_PER_PREFIX = 8;

  private static final class EngineState {
    long lastSequence = -1;
    int generation;
  }

  private final Map<String, Map<String, Integer>> generationsByPrefix;
  private final Map<String, EngineState> statesByEngine = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param maxPrefixes largest number of prefixes, positive
   */
  public PrefixCacheIndex(int maxPrefixes) {
    if (maxPrefixes < 1) {
      throw new IllegalArgumentException("maxPrefixes must be positive, but is " + maxPrefixes);
    }
    this.generationsByPrefix =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Map<String, Integer>> eldest) {
            return size() > maxPrefixes;
          }
        };
  }

  /**
   * Processes a cache event. Events that are not newer than the last one are ignored.
   *
   * @param engine name of the engine
   * @param sequence sequence number of the event
   * @param stored true if the prefix was stored, false if it was evicted
   * @param prefix hash of the prefix
   */
  public void onEvent(String engine, long sequence, boolean stored, String prefix) {
    EngineState s = statesByEngine.computeIfAbsent(engine, k -> new EngineState());
    if (sequence <= s.lastSequence) {
      return;
    }
    if (s.lastSequence >= 0 && sequence != s.lastSequence + 1) {
      s.generation++;
    }
    s.lastSequence = sequence;
    if (stored) {
      put(engine, prefix, s.generation);
    } else {
      remove(engine, prefix);
    }
  }

  /**
   * Records that a prompt was sent to an engine, which will cache its prefixes.
   *
   * @param engine name of the engine
   * @param prefixes hashes of growing prefixes, shortest first
   */
  public void onDispatch(String engine, List<String> prefixes) {
    EngineState s = statesByEngine.computeIfAbsent(engine, k -> new EngineState());
    prefixes.forEach(p -> put(engine, p, s.generation));
  }

  /**
   * Removes all entries of an engine, for example after a restart.
   *
   * @param engine name of the engine
   */
  public void removeEngine(String engine) {
    statesByEngine.remove(engine);
    generationsByPrefix.values().forEach(m -> m.remove(engine));
    generationsByPrefix.values().removeIf(Map::isEmpty);
  }

  private void put(String engine, String prefix, int generation) {
    Map<String, Integer> m =
        generationsByPrefix.computeIfAbsent(prefix, k -> new LinkedHashMap<>());
    m.remove(engine);
    m.put(engine, generation);
    if (m.size() > MAX_ENGINES_PER_PREFIX) {
      m.remove(m.keySet().iterator().next());
    }
  }

  private void remove(String engine, String prefix) {
    Map<String, Integer> m = generationsByPrefix.get(prefix);
    if (m != null) {
      m.remove(engine);
      if (m.isEmpty()) {
        generationsByPrefix.remove(prefix);
      }
    }
  }

  /**
   * Returns the fraction of a prompt that an engine has cached.
   *
   * @param engine name of the engine
   * @param prefixes hashes of growing prefixes, shortest first
   * @return 0 to 1
   */
  public double match(String engine, List<String> prefixes) {
    EngineState s = statesByEngine.get(engine);
    if (s == null) {
      return 0;
    }
    for (int i = prefixes.size() - 1; i >= 0; i--) {
      Map<String, Integer> m = generationsByPrefix.get(prefixes.get(i));
      Integer generation = m == null ? null : m.get(engine);
      if (generation != null) {
        double share = (i + 1.0) / prefixes.size();
        return generation == s.generation ? share : share * STALE_WEIGHT;
      }
    }
    return 0;
  }

  /**
   * Returns the sequence number of the last event received from an engine.
   *
   * @param engine name of the engine
   * @return the sequence number, or 0 if none was received
   */
  public long lastSequence(String engine) {
    EngineState s = statesByEngine.get(engine);
    return s == null ? 0 : Math.max(0, s.lastSequence);
  }

  /**
   * Returns the number of prefixes in the index.
   *
   * @return 0 to the maximum
   */
  public int size() {
    return generationsByPrefix.size();
  }
}
