package org.hibiscusreel.core.admission;

/**
 * Concurrency limit of one upstream that follows the observed delay: it grows by one per round of
 * responses while the delay stays near the lowest one seen, and shrinks by a tenth when the delay
 * exceeds it by far or the upstream refuses. Not thread-safe.
 */
public final class AdaptiveLimit {
  /** Delay, as a multiple of the lowest one, above which the limit shrinks. */
  private static final double TOLERATED_DELAY = 3;

  private static final double DECREASE = 0.9;
  private static final double SMOOTHING = 0.2;

  /** The lowest delay is raised slowly, so that an upstream that became slower is accepted. */
  private static final double FLOOR_DRIFT = 1.002;

  /** Delays below this are noise of the host, in milliseconds. */
  private static final double MIN_FLOOR_MILLIS = 20;

  private double limit;
  private double floor;
  private double average;
  private long shrunkAt = Long.MIN_VALUE;

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
   * Takes the delay of a response to its first chunk.
   *
   * @param delayMillis the delay in milliseconds
   * @param max largest limit, positive
   * @param now monotonic time in milliseconds
   */
  public void onDelay(long delayMillis, int max, long now) {
    average = average == 0 ? delayMillis : average + SMOOTHING * (delayMillis - average);
    floor = floor == 0 ? delayMillis : Math.min((double) delayMillis, floor * FLOOR_DRIFT);
    if (average > TOLERATED_DELAY * Math.max(MIN_FLOOR_MILLIS, floor)) {
      shrink(now);
    } else {
      limit = Math.min(max, limit + 1 / Math.max(1, limit));
    }
  }

  /**
   * Takes a refusal or a failure of the upstream.
   *
   * @param now monotonic time in milliseconds
   */
  public void onRefusal(long now) {
    shrink(now);
  }

  /** Shrinks at most once per round trip, since one congestion causes many signals. */
  private void shrink(long now) {
    boolean recent = shrunkAt != Long.MIN_VALUE && now - shrunkAt < Math.max(100, average);
    if (!recent) {
      shrunkAt = now;
      limit = Math.max(1, limit * DECREASE);
    }
  }
}
