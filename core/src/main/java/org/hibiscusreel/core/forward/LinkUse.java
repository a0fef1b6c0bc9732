package org.hibiscusreel.core.forward;

/**
 * Measures how much of a host's link the traffic of its requests uses, and tells whether the link
 * is about to be congested. Not thread-safe.
 */
public final class LinkUse {

  /** Length of a measurement in milliseconds. */
  static final long WINDOW_MILLIS = 500;

  /**
   * Use of either direction above which the link is overloaded, as a fraction of its capacity. The
   * rest is for the store, load reports and packet headers.
   */
  static final double OVERLOAD_FRACTION = 0.7;

  /** Use of both directions below which the link may recover, as a fraction of its capacity. */
  static final double RECOVERY_FRACTION = 0.5;

  /**
   * Time with low use after which the link is no longer overloaded, in milliseconds. The load
   * balancer sends the same callers again once the daemon is ready.
   */
  static final long RECOVERY_MILLIS = 5_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double bytesPerSecond;
  private long windowStartMillis;
  private long receivedBytes;
  private long sentBytes;
  private long busyUntilMillis;
  private boolean isOverloaded;

  /**
   * Creates a measurement without traffic.
   *
   * @param bytesPerSecond capacity of each direction of the link in bytes per second, positive
   * @throws IllegalArgumentException if the capacity is not positive
   */
  public LinkUse(double bytesPerSecond) {
    if (!(bytesPerSecond > 0)) {
      throw new IllegalArgumentException("the capacity must be positive: " + bytesPerSecond);
    }
    this.bytesPerSecond = bytesPerSecond;
  }

  /**
   * Counts received bytes.
   *
   * @param bytes number of bytes
   * @param nowMillis monotonic time in milliseconds
   */
  public void onReceived(long bytes, long nowMillis) {
    endWindow(nowMillis);
    receivedBytes += bytes;
  }

  /**
   * Counts sent bytes.
   *
   * @param bytes number of bytes
   * @param nowMillis monotonic time in milliseconds
   */
  public void onSent(long bytes, long nowMillis) {
    endWindow(nowMillis);
    sentBytes += bytes;
  }

  /**
   * Tells whether the link is or was lately close to its capacity.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if callers should use another daemon
   */
  public boolean isOverloaded(long nowMillis) {
    endWindow(nowMillis);
    if (isOverloaded && nowMillis >= busyUntilMillis) {
      isOverloaded = false;
    }
    return isOverloaded;
  }

  private void endWindow(long nowMillis) {
    long elapsedMillis = nowMillis - windowStartMillis;
    if (elapsedMillis < WINDOW_MILLIS) {
      return;
    }
    double capacity = bytesPerSecond * elapsedMillis / MILLIS_PER_SECOND;
    double use = Math.max(receivedBytes, sentBytes) / capacity;
    isOverloaded |= use > OVERLOAD_FRACTION;
    if (use > RECOVERY_FRACTION) {
      busyUntilMillis = nowMillis + RECOVERY_MILLIS;
    }
    windowStartMillis = nowMillis;
    receivedBytes = 0;
    sentBytes = 0;
  }
}
