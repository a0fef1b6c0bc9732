package org.hibiscusreel.core.admission;

/** Token bucket rate limiter for one client account. Not thread-safe. */
public final class RateLimiter {
  private static final double MILLIS_PER_SECOND = 1000;

  private double permits;
  private long refilledAtMillis;
  private boolean isInitialized;

  /**
   * Takes a permit. A burst may take the permits of up to one second, at least one.
   *
   * @param perSecond permits per second, positive
   * @param nowMillis monotonic time in milliseconds
   * @return 0 if the permit was taken, otherwise the time until one is available, in milliseconds
   */
  public long tryAcquire(double perSecond, long nowMillis) {
    double burst = Math.max(1, perSecond);
    double refill = (nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND;
    permits = isInitialized ? Math.min(burst, permits + refill) : burst;
    isInitialized = true;
    refilledAtMillis = nowMillis;
    if (permits >= 1) {
      permits--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - permits) * MILLIS_PER_SECOND / perSecond));
  }
}
