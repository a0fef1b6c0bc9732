package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Concludes from the connections that this host opens whether it is cut off from all upstreams. It
 * counts as isolated once connections to two different upstreams have failed within a short time
 * and none was opened meanwhile. Connections that were open before prove nothing, since they may
 * live on while new ones fail. Not thread-safe.
 */
public final class UpstreamReachability {

  /** Age in milliseconds up to which a failed connection counts. */
  public static final long RECENT_MILLIS = 2_000;

  private static final int MIN_FAILED_UPSTREAMS = 2;

  private final Map<String, Long> failedAtMillis = new HashMap<>();
  private boolean isolated;

  /**
   * Records that a connection to an upstream was opened.
   *
   * @return true if the host was isolated until now
   */
  public boolean onConnected() {
    boolean wasIsolated = isolated;
    isolated = false;
    failedAtMillis.clear();
    return wasIsolated;
  }

  /**
   * Records that a connection to an upstream was refused or not opened in time.
   *
   * @param upstream identity of the upstream
   * @param known number of known upstreams
   * @param nowMillis monotonic time in milliseconds
   * @return true if the host counts as isolated from now on
   */
  public boolean onConnectFailed(String upstream, int known, long nowMillis) {
    failedAtMillis.values().removeIf(at -> nowMillis - at > RECENT_MILLIS);
    failedAtMillis.put(upstream, nowMillis);
    if (isolated || failedAtMillis.size() < Math.min(MIN_FAILED_UPSTREAMS, Math.max(1, known))) {
      return false;
    }
    isolated = true;
    return true;
  }

  /**
   * Tells whether the host is cut off from all upstreams.
   *
   * @return true until a connection is opened
   */
  public boolean isIsolated() {
    return isolated;
  }

  /**
   * Returns the number of upstreams to which a connection failed lately and none was opened since.
   *
   * @return 0 or more
   */
  public int failedCount() {
    return failedAtMillis.size();
  }
}
