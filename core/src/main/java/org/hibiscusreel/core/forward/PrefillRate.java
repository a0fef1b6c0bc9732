package org.hibiscusreel.core.forward;

import java.util.OptionalLong;

/**
 * Rate at which the upstreams of a service process prompts, estimated from the tokens that were
 * pending when requests were sent and the time to their first events. Not thread-safe.
 */
public final class PrefillRate {

  /** Weight that earlier observations keep with each new one. */
  private static final double RETENTION = 0.95;

  private double tokens;
  private double millis;

  /**
   * Records the first event of a request.
   *
   * @param pendingTokens tokens that were pending at the upstream when the request was sent, with
   *     its own
   * @param delayMillis time from sending to the first event in milliseconds
   */
  public void add(long pendingTokens, long delayMillis) {
    tokens = tokens * RETENTION + Math.max(0, pendingTokens);
    millis = millis * RETENTION + Math.max(1, delayMillis);
  }

  /**
   * Returns the expected time to the first event.
   *
   * @param pendingTokens tokens pending at the upstream, with those of the request
   * @return time in milliseconds, or empty if nothing was observed yet
   */
  public OptionalLong expectedMillis(long pendingTokens) {
    return tokens <= 0
        ? OptionalLong.empty()
        : OptionalLong.of((long) (pendingTokens * millis / tokens));
  }
}
