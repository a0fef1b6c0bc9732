package org.hibiscusreel.core.budget;

/** Exponentially weighted average of the rate at which tokens of a budget are used. */
public final class DemandForecast {

  /**
   * Time constant of the average in milliseconds. It spans several minutes so that a single burst
   * does not determine the rate.
   */
  private static final double TIME_CONSTANT_MILLIS = 300_000;

  /**
   * Minimum observation time in milliseconds; with a shorter one, a single request would yield a
   * very high rate.
   */
  private static final long MIN_OBSERVED_MILLIS = 10_000;

  private final long sinceMillis;
  private long lastMillis;
  private double weightedTokens;

  /**
   * Creates a forecast without demand.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public DemandForecast(long nowMillis) {
    this.sinceMillis = nowMillis;
    this.lastMillis = nowMillis;
  }

  /**
   * Adds tokens that were used.
   *
   * @param tokens tokens, not negative
   * @param nowMillis monotonic time in milliseconds
   */
  public void add(long tokens, long nowMillis) {
    decay(nowMillis);
    weightedTokens += tokens;
  }

  /**
   * Returns the forecast rate.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return tokens per millisecond, not negative
   */
  public double tokensPerMilli(long nowMillis) {
    decay(nowMillis);
    double observed = Math.max(MIN_OBSERVED_MILLIS, nowMillis - sinceMillis);
    double window = TIME_CONSTANT_MILLIS * -Math.expm1(-observed / TIME_CONSTANT_MILLIS);
    return weightedTokens / window;
  }

  private void decay(long nowMillis) {
    if (nowMillis > lastMillis) {
      weightedTokens *= Math.exp((lastMillis - nowMillis) / TIME_CONSTANT_MILLIS);
      lastMillis = nowMillis;
    }
  }
}
