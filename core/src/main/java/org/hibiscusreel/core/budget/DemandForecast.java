package org.hibiscusreel.core.budget;

/** Exponentially weighted rate of the tokens used on one budget. */
public final class DemandForecast {

  /** Demand of the last few minutes counts most, so that one burst does not set the rate. */
  private static final double TIME_CONSTANT_MILLIS = 300_000;

  /** Shorter observations would turn a single request into a very high rate. */
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
