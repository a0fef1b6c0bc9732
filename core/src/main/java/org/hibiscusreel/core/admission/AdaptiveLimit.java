package org.hibiscusreel.core.admission;

/**
 * Concurrency limit of one upstream that adapts to the observed latency. It grows by one per round
 * of responses while the latency stays near the lowest observed value, and shrinks by a tenth when
 * the latency far exceeds that value or the upstream refuses a request. Not thread-safe.
 */
public final class AdaptiveLimit {
  /** Latency above which the limit shrinks, as a multiple of the lowest one. */
  private static final double MAX_DELAY_RATIO = 3;

  private static final double DECREASE_FACTOR = 0.9;
  private static final double SMOOTHING_FACTOR = 0.2;

  /**
   * Factor by which each response raises the lowest latency, so that a lasting slowdown of an
   * upstream is eventually accepted.
   */
  private static final double MIN_DELAY_DRIFT_FACTOR = 1.002;

  /** Lower bound of the lowest latency, in milliseconds; smaller values are noise of the host. */
  private static final double MIN_DELAY_MILLIS = 20;

  private double limit;
  private double minDelayMillis;
  private double averageMillis;
  private long lastShrinkAtMillis = Long.MIN_VALUE;

  /**
   * Creates a limit that starts at its maximum.
   *
   * @param max largest limit, positive
   * @throws IllegalArgumentException if the maximum is not positive
   */
  public AdaptiveLimit(int max) {
    if (max < 1) {
      throw new IllegalArgumentException("max must be positive, but is " + max);
    }
    limit = max;
  }

  /**
   * Returns the limit.
   *
   * @param max largest limit, positive
   * @return 1 to {@code max}
   */
  public int get(int max) {
    return (int) Math.max(1, Math.min(max, Math.floor(limit)));
  }

  /**
   * Records the latency of the first chunk of a response.
   *
   * @param delayMillis latency in milliseconds
   * @param max largest limit, positive
   * @param nowMillis monotonic time in milliseconds
   */
  public void onDelay(long delayMillis, int max, long nowMillis) {
    averageMillis =
        averageMillis == 0
            ? delayMillis
            : averageMillis + SMOOTHING_FACTOR * (delayMillis - averageMillis);
    minDelayMillis =
        minDelayMillis == 0
            ? delayMillis
            : Math.min((double) delayMillis, minDelayMillis * MIN_DELAY_DRIFT_FACTOR);
    if (averageMillis > MAX_DELAY_RATIO * Math.max(MIN_DELAY_MILLIS, minDelayMillis)) {
      shrink(nowMillis);
    } else {
      limit = Math.min(max, limit + 1 / Math.max(1, limit));
    }
  }

  /**
   * Records a refusal or a failure of the upstream.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onRefusal(long nowMillis) {
    shrink(nowMillis);
  }

  /**
   * Shrinks the limit, at most once per round trip, since one congestion event causes many signals.
   */
  private void shrink(long nowMillis) {
    boolean isRecent =
        lastShrinkAtMillis != Long.MIN_VALUE
            && nowMillis - lastShrinkAtMillis < Math.max(100, averageMillis);
    if (!isRecent) {
      lastShrinkAtMillis = nowMillis;
      limit = Math.max(1, limit * DECREASE_FACTOR);
    }
  }
}
