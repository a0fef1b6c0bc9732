package org.hibiscusreel.core.forward;

import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks for how long other daemons have had a newer configuration than this one. Not thread-safe.
 */
public final class ConfigurationLag {

  /** Largest number of newer versions that are remembered. */
  static final int MAX_VERSIONS = 64;

  private final TreeMap<Long, Long> heardAtMillisByVersion = new TreeMap<>();
  private long ownVersion;

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
   * Records a version in force at another daemon.
   *
   * @param version version of the configuration
   * @param nowMillis monotonic time in milliseconds
   */
  public void onPeerVersion(long version, long nowMillis) {
    if (version > ownVersion && heardAtMillisByVersion.size() < MAX_VERSIONS) {
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
    long earliest = nowMillis;
    for (Map.Entry<Long, Long> heard : heardAtMillisByVersion.entrySet()) {
      earliest = Math.min(earliest, heard.getValue());
    }
    return nowMillis - earliest;
  }
}
