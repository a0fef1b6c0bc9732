package org.hibiscusreel.core.forward;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimate of the prompt parts that an upstream has cached, from the requests that this daemon sent
 * to it. The least recently used parts are evicted. Not thread-safe.
 */
public final class PrefixCacheEstimate {

  /**
   * Fraction of the cache available to this daemon's prompt parts. Running requests and parts sent
   * by other daemons take up the rest.
   */
  private static final double CACHE_FRACTION = 0.4;

  private final Map<String, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /**
   * Records that a prompt was sent.
   *
   * @param prompt shape of the prompt
   * @param capacityTokens capacity of the upstream's key-value cache in tokens
   */
  public void recordPrompt(PromptShape prompt, long capacityTokens) {
    for (PromptShape.Part p : prompt.sharedPrefixParts()) {
      Long previousTokens = tokensByPart.put(p.id(), p.tokens());
      tokens += p.tokens() - (previousTokens == null ? 0 : previousTokens);
    }
    Iterator<Long> oldest = tokensByPart.values().iterator();
    while (tokens > capacityTokens * CACHE_FRACTION && oldest.hasNext()) {
      tokens -= oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns the prompt tokens that are probably cached. A part counts only if all preceding parts
   * are cached too.
   *
   * @param prompt shape of the prompt
   * @return tokens, 0 or more
   */
  public long cachedTokens(PromptShape prompt) {
    long kept = 0;
    for (PromptShape.Part p : prompt.sharedPrefixParts()) {
      if (tokensByPart.get(p.id()) == null) {
        break;
      }
      kept += p.tokens();
    }
    return kept;
  }
}
