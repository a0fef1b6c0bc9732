package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Concludes from the connections that this host opens whether it is cut off from all upstreams.
 * This is suspected once connections to two different upstreams have failed within a short time and
 * none was opened meanwhile, and holds once further connections have failed, too. Connections that
 * were open before prove nothing, since they may live on while new ones fail. Not thread-safe.
 */
public final class UpstreamReachability {

  /** Age in milliseconds up to which a failed connection counts. */
  public static final long RECENT_MILLIS = 2_000;

  private static final int MIN_FAILED_UPSTREAMS = 2;

  private final Map<String, Long> failedAtMillis = new HashMap<>();
  private boolean suspected;
  private boolean isolated;

  /**
   * Records that a connection to an upstream was opened.
   *
   * @return true if the host was isolated until now
   */
  public boolean onConnected() {
    final boolean wasIsolated = isolated;
    suspected = false;
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
   * @return true if further upstreams must be tried now
   */
  public boolean onConnectFailed(String upstream, int known, long nowMillis) {
    failedAtMillis.values().removeIf(at -> nowMillis - at > RECENT_MILLIS);
    failedAtMillis.put(upstream, nowMillis);
    int required = known == 1 ? 1 : MIN_FAILED_UPSTREAMS;
    if (isolated || suspected || failedAtMillis.size() < required) {
      return false;
    }
    suspected = true;
    return true;
  }

  /**
   * Records that the further connections have failed, too.
   *
   * @return true if the host counts as isolated from now on
   */
  public boolean confirm() {
    if (!suspected) {
      return false;
    }
    suspected = false;
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
   * Tells whether a connection to an upstream failed lately and none was opened since.
   *
   * @param upstream identity of the upstream
   * @return true if it failed
   */
  public boolean hasFailed(String upstream) {
    return failedAtMillis.containsKey(upstream);
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
