package org.hibiscusreel.core.forward;

import java.util.List;

/**
 * Size and parts of a prompt as declared by its caller.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens largest number of output tokens that the caller accepts
 * @param parts parts of the prompt in order; only the last one is specific to this request
 */
public record PromptShape(long promptTokens, long maxOutputTokens, List<Part> parts) {

  /** Largest number of tokens that is told apart, so that sums of several can't overflow. */
  public static final long MAX_TOKENS = 1_000_000_000_000L;

  /**
   * Part of a prompt, which several prompts may share as part of their prefix.
   *
   * @param id identifier of its content
   * @param tokens length in tokens
   */
  public record Part(String id, long tokens) {

    /**
     * Lowers the length to {@link #MAX_TOKENS}.
     *
     * @throws IllegalArgumentException if the length is negative
     */
    public Part {
      tokens = limit(tokens);
    }
  }

  /**
   * Copies the list and lowers the numbers to {@link #MAX_TOKENS}.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public PromptShape {
    promptTokens = limit(promptTokens);
    maxOutputTokens = limit(maxOutputTokens);
    parts = List.copyOf(parts);
  }

  private static long limit(long tokens) {
    if (tokens < 0) {
      throw new IllegalArgumentException("a negative number of tokens: " + tokens);
    }
    return Math.min(MAX_TOKENS, tokens);
  }

  /**
   * Returns the largest number of tokens that the request can consume.
   *
   * @return tokens
   */
  public long worstCaseTokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * Returns the identifier of the longest shared prefix.
   *
   * @return identifier of the last shared part, or of the only part; empty if there are no parts
   */
  public String sharedPrefixId() {
    if (parts.isEmpty()) {
      return "";
    }
    return parts.get(Math.max(0, parts.size() - 2)).id();
  }

  /**
   * Returns the parts of the shared prefix.
   *
   * @return all parts except the last one
   */
  public List<Part> sharedPrefixParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /**
   * Returns the identifiers of the parts that other prompts may share.
   *
   * @return identifiers of all parts except the last one, in order
   */
  public List<String> sharedPartIds() {
    return sharedPrefixParts().stream().map(Part::id).toList();
  }

  /**
   * Returns the length of the shared prefix.
   *
   * @return tokens, 0 if there is at most one part
   */
  public long sharedPrefixTokens() {
    return sharedPrefixParts().stream().mapToLong(Part::tokens).sum();
  }
}
