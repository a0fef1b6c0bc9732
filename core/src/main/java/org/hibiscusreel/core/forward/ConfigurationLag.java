package org.hibiscusreel.core.forward;

import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks for how long other daemons have had a newer configuration than this one. Not thread-safe.
 */
public final class ConfigurationLag {

  /** Largest number of newer versions that are remembered. */
  static final int MAX_VERSIONS = 64;

  /**
   * Time without news of a newer version after which none counts, in milliseconds. Daemons report
   * only versions that they confirmed lately, so during an outage of the store none is ahead.
   */
  static final long MAX_SILENCE_MILLIS = 2_000;

  private final TreeMap<Long, Long> heardAtMillisByVersion = new TreeMap<>();
  private long ownVersion;
  private long lastHeardAtMillis;

  /**
   * Records the version in force at this daemon.
   *
   * @param version version of the configuration
   */
  public void onOwnVersion(long version) {
    ownVersion = version;
    heardAtMillisByVersion.headMap(version, true).clear();
  }

  /**
   * Records a version that another daemon has confirmed lately.
   *
   * @param version version of the configuration, 0 if it has confirmed none
   * @param nowMillis monotonic time in milliseconds
   */
  public void onPeerVersion(long version, long nowMillis) {
    if (version <= ownVersion) {
      return;
    }
    expire(nowMillis);
    lastHeardAtMillis = nowMillis;
    if (heardAtMillisByVersion.size() < MAX_VERSIONS) {
      heardAtMillisByVersion.putIfAbsent(version, nowMillis);
    }
  }

  /**
   * Returns for how long a newer version has been known to exist.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return milliseconds, 0 if no newer version is known
   */
  public long lagMillis(long nowMillis) {
    expire(nowMillis);
    long earliest = nowMillis;
    for (Map.Entry<Long, Long> heard : heardAtMillisByVersion.entrySet()) {
      earliest = Math.min(earliest, heard.getValue());
    }
    return nowMillis - earliest;
  }

  private void expire(long nowMillis) {
    if (nowMillis - lastHeardAtMillis > MAX_SILENCE_MILLIS) {
      heardAtMillisByVersion.clear();
    }
  }
}
