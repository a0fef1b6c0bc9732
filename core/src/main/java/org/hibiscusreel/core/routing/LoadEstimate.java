package org.hibiscusreel.core.routing;

/**
 * Estimates the load of one upstream from the last report and this daemon's own requests. The share
 * of other daemons in an old report loses weight, since it says less and less about now. Not
 * thread-safe.
 */
public final class LoadEstimate {
  private static final double HALF_LIFE_MILLIS = 3_000;
  private static final double DELAY_HALF_LIFE_MILLIS = 10_000;
  private static final double SMOOTHING = 0.3;

  private double others;
  private int capacity;
  private long reportedAt;
  private double delay;
  private long delayAt;

  /**
   * Takes a report.
   *
   * @param requests requests running and queued there
   * @param newCapacity requests that it can execute at once
   * @param own requests of this daemon in progress there now
   * @param now monotonic time in milliseconds
   */
  public void onReport(int requests, int newCapacity, int own, long now) {
    others = Math.max(0, requests - own);
    capacity = newCapacity;
    reportedAt = now;
  }

  /**
   * Takes the delay of a response to its first chunk.
   *
   * @param millis the delay in milliseconds
   * @param now monotonic time in milliseconds
   */
  public void onDelay(long millis, long now) {
    double old = delayMillis(now);
    delay = old == 0 ? millis : old + SMOOTHING * (millis - old);
    delayAt = now;
  }

  /**
   * Returns the estimated number of requests in progress.
   *
   * @param own requests of this daemon in progress there now
   * @param now monotonic time in milliseconds
   * @return 0 or more
   */
  public double load(int own, long now) {
    return own + others * Math.pow(0.5, (now - reportedAt) / HALF_LIFE_MILLIS);
  }

  /**
   * Returns the capacity.
   *
   * @param fallback value without a report, positive
   * @return requests that it can execute at once, positive
   */
  public int capacity(int fallback) {
    return capacity > 0 ? capacity : fallback;
  }

  /**
   * Returns the smoothed delay to the first chunk. It fades, so that an upstream that was slow is
   * tried again.
   *
   * @param now monotonic time in milliseconds
   * @return milliseconds, 0 if unknown
   */
  public double delayMillis(long now) {
    return delay * Math.pow(0.5, (now - delayAt) / DELAY_HALF_LIFE_MILLIS);
  }

  /**
   * Tells whether the upstream executes at most the given number of requests, by a fresh report.
   *
   * @param requests number of requests
   * @param now monotonic time in milliseconds
   * @param maxAgeMillis largest age of the report in milliseconds
   * @return false also when it is not known
   */
  public boolean isAtMost(int requests, long now, long maxAgeMillis) {
    return capacity > 0 && now - reportedAt <= maxAgeMillis && others + 1 <= requests;
  }
}
