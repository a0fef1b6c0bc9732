package org.hibiscusreel.bench.standin;

import java.util.function.LongSupplier;

/** Token bucket with a capacity of one second of calls. */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1000;

  private final int perSecond;
  private final LongSupplier clock;
  private double tokens;
  private long refilledAtMillis;

  /**
   * Creates a full bucket.
   *
   * @param perSecond calls per second, 0 for no limit
   * @param clock clock in milliseconds
   */
  TokenBucket(int perSecond, LongSupplier clock) {
    this.perSecond = perSecond;
    this.clock = clock;
    this.tokens = perSecond;
    this.refilledAtMillis = clock.getAsLong();
  }

  boolean tryAcquire() {
    if (perSecond == 0) {
      return true;
    }
    long nowMillis = clock.getAsLong();
    tokens =
        Math.min(
            perSecond, tokens + (nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND);
    refilledAtMillis = nowMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
