package org.hibiscusreel.core.forward;

import java.util.Arrays;

/** Sizes of the most recent prompts. Not thread-safe. */
public final class PromptSizes {

  /** Number of prompts that are compared. */
  public static final int CAPACITY = 128;

  private final long[] tokens = new long[CAPACITY];
  private int count;
  private int next;

  /**
   * Records the size of a prompt.
   *
   * @param promptTokens tokens of the prompt
   */
  public void add(long promptTokens) {
    tokens[next] = promptTokens;
    next = (next + 1) % CAPACITY;
    count = Math.min(CAPACITY, count + 1);
  }

  /**
   * Returns how a prompt compares with the recent ones.
   *
   * @param promptTokens tokens of the prompt
   * @return fraction of the recent prompts that are not larger, 1 if there are none
   */
  public double rank(long promptTokens) {
    long smaller = Arrays.stream(tokens, 0, count).filter(t -> t <= promptTokens).count();
    return count == 0 ? 1 : (double) smaller / count;
  }
}
