package org.hibiscusreel.core.forward;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parts of prompts that an upstream probably keeps, from the requests that this daemon sent there.
 * The least recently used parts yield. Not thread-safe.
 */
public final class PromptMemory {

  /** Running requests and parts that other daemons sent take the rest of the memory. */
  private static final double KEPT_PART = 0.4;

  private final Map<String, Long> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /**
   * Notes that a prompt was sent.
   *
   * @param prompt shape of the prompt
   * @param memoryTokens memory of the upstream in tokens
   */
  public void onSent(PromptShape prompt, long memoryTokens) {
    for (PromptShape.Part p : prompt.sharedParts()) {
      Long before = tokensByPart.put(p.id(), p.tokens());
      tokens += p.tokens() - (before == null ? 0 : before);
    }
    Iterator<Long> oldest = tokensByPart.values().iterator();
    while (tokens > memoryTokens * KEPT_PART && oldest.hasNext()) {
      tokens -= oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns the tokens of a prompt that need not be read again: a part is kept only behind all
   * parts before it.
   *
   * @param prompt shape of the prompt
   * @return tokens, 0 or more
   */
  public long kept(PromptShape prompt) {
    long kept = 0;
    for (PromptShape.Part p : prompt.sharedParts()) {
      if (tokensByPart.get(p.id()) == null) {
        break;
      }
      kept += p.tokens();
    }
    return kept;
  }
}
