package org.hibiscusreel.bench.standin;

import java.util.function.LongSupplier;

/** Token bucket that holds the calls of one second. */
final class RateLimit {

  private static final double MILLIS_PER_SECOND = 1000;

  private final int perSecond;
  private final LongSupplier now;
  private double tokens;
  private long filledAt;

  /**
   * Creates a full bucket.
   *
   * @param perSecond calls a second, 0 for no limit
   * @param now clock in milliseconds
   */
  RateLimit(int perSecond, LongSupplier now) {
    this.perSecond = perSecond;
    this.now = now;
    this.tokens = perSecond;
    this.filledAt = now.getAsLong();
  }

  boolean tryTake() {
    if (perSecond == 0) {
      return true;
    }
    long t = now.getAsLong();
    tokens = Math.min(perSecond, tokens + (t - filledAt) * perSecond / MILLIS_PER_SECOND);
    filledAt = t;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
