package org.hibiscusreel.core.routing;

/**
 * Estimates the load of one upstream from its last report and this daemon's own requests. The
 * reported load of other daemons decays with the age of the report, since it becomes less accurate.
 * Not thread-safe.
 */
public final class LoadEstimate {
  private static final double REPORT_HALF_LIFE_MILLIS = 3_000;
  private static final double DELAY_HALF_LIFE_MILLIS = 10_000;
  private static final double DELAY_SMOOTHING_FACTOR = 0.3;

  private double peerRequests;
  private int capacity;
  private long reportedAtMillis;
  private double delay;
  private long delayAtMillis;

  /**
   * Processes a load report.
   *
   * @param requests requests running and queued at the upstream
   * @param newCapacity requests that it can execute concurrently
   * @param own requests of this daemon currently in progress there
   * @param nowMillis monotonic time in milliseconds
   */
  public void onReport(int requests, int newCapacity, int own, long nowMillis) {
    peerRequests = Math.max(0, requests - own);
    capacity = newCapacity;
    reportedAtMillis = nowMillis;
  }

  /**
   * Records the latency of the first chunk of a response.
   *
   * @param millis latency in milliseconds
   * @param nowMillis monotonic time in milliseconds
   */
  public void onDelay(long millis, long nowMillis) {
    double previousMillis = delayMillis(nowMillis);
    delay =
        previousMillis == 0
            ? millis
            : previousMillis + DELAY_SMOOTHING_FACTOR * (millis - previousMillis);
    delayAtMillis = nowMillis;
  }

  /**
   * Returns the estimated number of requests in progress of all daemons.
   *
   * @param own requests of this daemon currently in progress there
   * @param nowMillis monotonic time in milliseconds
   * @return 0 or more
   */
  public double load(int own, long nowMillis) {
    return own
        + peerRequests * Math.pow(0.5, (nowMillis - reportedAtMillis) / REPORT_HALF_LIFE_MILLIS);
  }

  /**
   * Returns the reported capacity.
   *
   * @param fallback capacity to assume without a report, positive
   * @return requests that it can execute concurrently, positive
   */
  public int capacity(int fallback) {
    return capacity > 0 ? capacity : fallback;
  }

  /**
   * Returns the smoothed latency of the first chunk. It decays over time, so that a formerly slow
   * upstream is tried again.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return milliseconds, 0 if unknown
   */
  public double delayMillis(long nowMillis) {
    return delay * Math.pow(0.5, (nowMillis - delayAtMillis) / DELAY_HALF_LIFE_MILLIS);
  }

  /**
   * Tells whether, according to a recent report and including the next request, at most the given
   * number of requests are in progress at the upstream.
   *
   * @param requests number of requests
   * @param nowMillis monotonic time in milliseconds
   * @param maxAgeMillis largest age of the report in milliseconds
   * @return false if there are more or the load is unknown
   */
  public boolean isLoadAtMost(int requests, long nowMillis, long maxAgeMillis) {
    return capacity > 0
        && nowMillis - reportedAtMillis <= maxAgeMillis
        && peerRequests + 1 <= requests;
  }
}
