package org.hibiscusreel.core.retry;

/**
 * Limits retries to a fraction of the requests: each request adds a fraction of a token, each retry
 * takes one token. Not thread-safe.
 */
public final class RetryBudget {
  /** Default number of retries per request. */
  public static final double DEFAULT_RATIO = 0.1;

  /** Default burst of retries, so that a daemon with few requests can still retry. */
  public static final double DEFAULT_BURST = 10;

  private final double ratio;
  private final double burst;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param ratio tokens that a request adds, 0 to 1
   * @param burst largest number of tokens, positive
   * @throws IllegalArgumentException if an argument is out of range
   */
  public RetryBudget(double ratio, double burst) {
    if (ratio < 0 || ratio > 1 || burst <= 0) {
      throw new IllegalArgumentException("ratio must be 0 to 1 and burst positive");
    }
    this.ratio = ratio;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Counts a first attempt. */
  public void onRequest() {
    tokens = Math.min(burst, tokens + ratio);
  }

  /**
   * Tells whether a retry may be made, without taking a token.
   *
   * @return true if {@link #tryRetry} would return true
   */
  public boolean hasRetry() {
    return tokens >= 1;
  }

  /**
   * Takes a token for a retry.
   *
   * @return false if the budget is exhausted and the retry must not be made
   */
  public boolean tryRetry() {
    if (!hasRetry()) {
      return false;
    }
    tokens--;
    return true;
  }
}
