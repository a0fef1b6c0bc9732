package org.hibiscusreel.core.forward;

/** Load and health of one upstream as observed from this daemon's own requests. Not thread-safe. */
public final class UpstreamLoad {

  /** Duration of the first suspension of a failing upstream, in milliseconds. */
  public static final long FIRST_SUSPENSION_MILLIS = 400;

  /** Longest suspension of a failing upstream, in milliseconds; a restart takes a few seconds. */
  public static final long MAX_SUSPENSION_MILLIS = 3_200;

  private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
  private int inFlight;
  private long pendingPrefillTokens;
  private int failures;
  private long suspendedUntilMillis = Long.MIN_VALUE;
  private long failedUntilMillis = Long.MIN_VALUE;

  /**
   * Records that a request was sent.
   *
   * @param promptTokens estimated tokens that the upstream prefills before its first event
   */
  public void onSent(long promptTokens) {
    inFlight++;
    pendingPrefillTokens += promptTokens;
  }

  /**
   * Records that the first event of a request arrived, or that the request ended without one.
   *
   * @param promptTokens number passed to {@link #onSent}
   */
  public void onPrefillEnded(long promptTokens) {
    pendingPrefillTokens -= promptTokens;
  }

  /** Records that a request ended. */
  public void onEnded() {
    inFlight--;
  }

  /** Records a successful response, which ends a suspension. */
  public void onSuccess() {
    forgetFailures();
  }

  /** Ends a suspension whose cause was not the upstream. */
  public void forgetFailures() {
    failures = 0;
    suspendedUntilMillis = Long.MIN_VALUE;
    failedUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Records that the upstream could not be reached or that a response was interrupted.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onFailure(long nowMillis) {
    suspend(nowMillis);
    failedUntilMillis = suspendedUntilMillis;
  }

  /**
   * Records that the upstream sent nothing for a request for too long. It is suspended as after a
   * failure, but a sound upstream may be silent for a second or so.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onSilence(long nowMillis) {
    suspend(nowMillis);
  }

  private void suspend(long nowMillis) {
    long suspensionMillis = FIRST_SUSPENSION_MILLIS << Math.min(failures, 10);
    failures++;
    suspendedUntilMillis = nowMillis + Math.min(MAX_SUSPENSION_MILLIS, suspensionMillis);
  }

  /**
   * Tells whether the upstream is suspended after a failure or a silence.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true while other upstreams are preferred
   */
  public boolean isSuspended(long nowMillis) {
    return nowMillis < suspendedUntilMillis;
  }

  /**
   * Tells whether the upstream is suspended after a failure, and not only after a silence.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if the upstream is probably not running
   */
  public boolean hasFailed(long nowMillis) {
    return nowMillis < failedUntilMillis;
  }

  /**
   * Returns the estimate of the prompt parts that the upstream has cached.
   *
   * @return the live estimate, which changes with each request
   */
  public PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  /**
   * Returns the requests in progress of this daemon at the upstream.
   *
   * @return 0 or more
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the prompt tokens of this daemon that the upstream has not prefilled yet.
   *
   * @return estimated tokens
   */
  public long pendingPrefillTokens() {
    return pendingPrefillTokens;
  }
}
