package org.hibiscusreel.core.admission;

/** Token bucket of one client account. Not thread-safe. */
public final class RateLimiter {
  private static final double MILLIS_PER_SECOND = 1000;

  private double permits;
  private long refilledAt;
  private boolean used;

  /**
   * Takes a permit. Up to one second of permits, at least one, may be taken at once.
   *
   * @param perSecond permits a second, positive
   * @param now monotonic time in milliseconds
   * @return 0 if the permit was taken, otherwise the time until one is free in milliseconds
   */
  public long tryAcquire(double perSecond, long now) {
    double burst = Math.max(1, perSecond);
    double refill = (now - refilledAt) * perSecond / MILLIS_PER_SECOND;
    permits = used ? Math.min(burst, permits + refill) : burst;
    used = true;
    refilledAt = now;
    if (permits >= 1) {
      permits--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - permits) * MILLIS_PER_SECOND / perSecond));
  }
}
