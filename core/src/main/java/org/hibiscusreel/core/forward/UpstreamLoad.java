package org.hibiscusreel.core.forward;

/**
 * What this daemon knows of the load and health of one upstream from its own requests. Not
 * thread-safe.
 */
public final class UpstreamLoad {

  /** First time that a failing upstream is avoided, in milliseconds. */
  public static final long FIRST_SUSPENSION_MILLIS = 400;

  /** Longest time that a failing upstream is avoided; a restart takes some seconds. */
  public static final long MAX_SUSPENSION_MILLIS = 3_200;

  private final PromptMemory memory = new PromptMemory();
  private int inFlight;
  private long unreadTokens;
  private int failures;
  private long suspendedUntilMillis = Long.MIN_VALUE;

  /**
   * Counts a request that is sent.
   *
   * @param promptTokens tokens that the upstream reads before its first event, estimated
   */
  public void onSent(long promptTokens) {
    inFlight++;
    unreadTokens += promptTokens;
  }

  /**
   * Notes that the first event of a request came, or that it ended without one.
   *
   * @param promptTokens the number given to {@link #onSent}
   */
  public void onRead(long promptTokens) {
    unreadTokens -= promptTokens;
  }

  /** Counts a request that ended. */
  public void onEnded() {
    inFlight--;
  }

  /** Notes that the upstream answered. */
  public void onSuccess() {
    failures = 0;
    suspendedUntilMillis = Long.MIN_VALUE;
  }

  /**
   * Notes that the upstream could not be reached or broke off.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onFailure(long nowMillis) {
    long pause = FIRST_SUSPENSION_MILLIS << Math.min(failures, 10);
    failures++;
    suspendedUntilMillis = nowMillis + Math.min(MAX_SUSPENSION_MILLIS, pause);
  }

  /**
   * Tells whether the upstream is avoided because it failed.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true while other upstreams go first
   */
  public boolean isSuspended(long nowMillis) {
    return nowMillis < suspendedUntilMillis;
  }

  /**
   * Returns the parts of prompts that the upstream probably keeps.
   *
   * @return the memory, which changes with each request
   */
  public PromptMemory memory() {
    return memory;
  }

  /**
   * Returns the requests of this daemon at the upstream.
   *
   * @return 0 or more
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the prompt tokens of this daemon that the upstream has still to read.
   *
   * @return estimated tokens
   */
  public long unreadTokens() {
    return unreadTokens;
  }
}
