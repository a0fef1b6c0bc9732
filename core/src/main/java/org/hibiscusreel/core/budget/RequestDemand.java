package org.hibiscusreel.core.budget;

/**
 * Demand for the tokens of one account at one daemon: how much is asked for in a time, and how much
 * that varies. Not thread-safe.
 */
public final class RequestDemand {

  /** Half a minute ago counts about half: a day's demand shifts between hosts within minutes. */
  private static final double TIME_CONSTANT_MILLIS = 45_000;

  /** Shorter observations would turn a single request into a very high rate. */
  private static final double MIN_OBSERVED_MILLIS = 4_000;

  /** Standard deviations held beyond the mean; covers 97 in 100 intervals of a normal demand. */
  private static final double DEVIATIONS = 2;

  private final long sinceMillis;
  private long lastMillis;
  private double weight;
  private double tokens;
  private double squares;

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
    weight++;
    tokens += size;
    squares += (double) size * size;
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
    return weight == 0 ? 0 : tokens / weight;
  }

  /**
   * Returns the mean size of a request seen from a token, which large requests determine.
   *
   * @return tokens, 0 without requests
   */
  public double typicalSize() {
    return tokens == 0 ? 0 : squares / tokens;
  }

  /**
   * Returns the tokens that cover the demand of an interval with high probability. Requests that
   * arrive independently of each other make up a compound Poisson process, whose variance follows
   * from the mean and the typical size.
   *
   * @param intervalMillis length of the interval in milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @return tokens
   */
  public long during(long intervalMillis, long nowMillis) {
    double mean = tokensPerMilli(nowMillis) * intervalMillis;
    return (long) Math.ceil(mean + DEVIATIONS * Math.sqrt(mean * typicalSize()));
  }

  private void decay(long nowMillis) {
    if (nowMillis > lastMillis) {
      double factor = Math.exp((lastMillis - nowMillis) / TIME_CONSTANT_MILLIS);
      weight *= factor;
      tokens *= factor;
      squares *= factor;
      lastMillis = nowMillis;
    }
  }
}
