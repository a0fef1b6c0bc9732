package org.hibiscusreel.core.forward;

import java.util.List;

/**
 * Size and parts of a prompt as its caller declares them.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens largest number of tokens that the caller takes
 * @param parts parts of the prompt in order; the last one belongs to this request alone
 */
public record PromptShape(long promptTokens, long maxOutputTokens, List<Part> parts) {

  /**
   * A part that several prompts may begin with.
   *
   * @param id identity of its content
   * @param tokens its length in tokens
   */
  public record Part(String id, long tokens) {}

  /** Copies the list. */
  public PromptShape {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the most that a request can consume.
   *
   * @return tokens
   */
  public long worstCaseTokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * Returns the identity of the longest beginning that other prompts share.
   *
   * @return identity of the last shared part, or of the only part
   */
  public String sharedKey() {
    if (parts.isEmpty()) {
      return "";
    }
    return parts.get(Math.max(0, parts.size() - 2)).id();
  }

  /**
   * Returns the parts that other prompts share.
   *
   * @return all parts but the last one
   */
  public List<Part> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /**
   * Returns the length of the beginning that other prompts share.
   *
   * @return tokens, 0 if there is one part only
   */
  public long sharedTokens() {
    return sharedParts().stream().mapToLong(Part::tokens).sum();
  }
}
