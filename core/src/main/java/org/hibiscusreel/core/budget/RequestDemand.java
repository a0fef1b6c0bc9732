package org.hibiscusreel.core.budget;

/**
 * Exponentially weighted estimate of the demand for tokens of one account at one daemon, with its
 * rate and variance. Not thread-safe.
 */
public final class RequestDemand {

  /**
   * Time constant of the estimate in milliseconds, which gives demand of half a minute ago about
   * half the weight. Demand shifts between hosts within minutes.
   */
  private static final double TIME_CONSTANT_MILLIS = 45_000;

  /**
   * Minimum observation time in milliseconds; with a shorter one, a single request would yield a
   * very high rate.
   */
  private static final double MIN_OBSERVED_MILLIS = 4_000;

  /**
   * Standard deviations held in addition to the mean, which covers 97 of 100 intervals of normally
   * distributed demand.
   */
  private static final double STANDARD_DEVIATIONS = 2;

  private final long sinceMillis;
  private long lastMillis;
  private double requestWeight;
  private double tokens;
  private double sumOfSquares;

  /**
   * Creates an estimate without demand.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public RequestDemand(long nowMillis) {
    this.sinceMillis = nowMillis;
    this.lastMillis = nowMillis;
  }

  /**
   * Adds a request.
   *
   * @param size tokens that it needs, not negative
   * @param nowMillis monotonic time in milliseconds
   */
  public void add(long size, long nowMillis) {
    decay(nowMillis);
    requestWeight++;
    tokens += size;
    sumOfSquares += (double) size * size;
  }

  /**
   * Returns the mean demand.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return tokens per millisecond
   */
  public double tokensPerMilli(long nowMillis) {
    decay(nowMillis);
    double observed = Math.max(MIN_OBSERVED_MILLIS, (double) (nowMillis - sinceMillis));
    return tokens / (TIME_CONSTANT_MILLIS * -Math.expm1(-observed / TIME_CONSTANT_MILLIS));
  }

  /**
   * Returns the mean size of a request.
   *
   * @return tokens, 0 without requests
   */
  public double meanSize() {
    return requestWeight == 0 ? 0 : tokens / requestWeight;
  }

  /**
   * Returns the mean request size weighted by tokens, which is dominated by large requests.
   *
   * @return tokens, 0 without requests
   */
  public double tokenWeightedMeanSize() {
    return tokens == 0 ? 0 : sumOfSquares / tokens;
  }

  /**
   * Returns the tokens that cover the demand of an interval with high probability. Independently
   * arriving requests form a compound Poisson process, whose variance follows from the mean and the
   * typical size.
   *
   * @param intervalMillis length of the interval in milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @return tokens
   */
  public long coveringTokens(long intervalMillis, long nowMillis) {
    double mean = tokensPerMilli(nowMillis) * intervalMillis;
    return (long) Math.ceil(mean + STANDARD_DEVIATIONS * Math.sqrt(mean * tokenWeightedMeanSize()));
  }

  private void decay(long nowMillis) {
    if (nowMillis > lastMillis) {
      double factor = Math.exp((lastMillis - nowMillis) / TIME_CONSTANT_MILLIS);
      requestWeight *= factor;
      tokens *= factor;
      sumOfSquares *= factor;
      lastMillis = nowMillis;
    }
  }
}
