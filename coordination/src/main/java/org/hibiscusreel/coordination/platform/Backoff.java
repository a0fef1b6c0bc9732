package org.hibiscusreel.coordination.platform;

import java.util.Objects;
import java.util.function.LongSupplier;

/** Exponential backoff with jitter, so that many daemons do not retry at the same time. */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 20;

  private final long firstMillis;
  private final long maxMillis;
  private final LongSupplier random;

  /**
   * Creates a backoff.
   *
   * @param firstMillis upper bound of the first delay in milliseconds, positive
   * @param maxMillis upper bound of all delays in milliseconds
   * @param random source of random bits
   */
  public Backoff(long firstMillis, long maxMillis, LongSupplier random) {
    if (firstMillis <= 0 || maxMillis < firstMillis) {
      throw new IllegalArgumentException(
          "firstMillis must be positive and at most maxMillis, but is " + firstMillis);
    }
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Returns the delay before an attempt.
   *
   * @param failures failures so far, at least 1
   * @return delay in milliseconds, between half of the current bound and the bound
   */
  public long delayMillis(int failures) {
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
    long bound = Math.min(maxMillis, firstMillis << doublings);
    long half = Math.max(1, bound / 2);
    return half + Math.floorMod(random.getAsLong(), half + 1);
  }
}
