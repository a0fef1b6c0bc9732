package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** When each version of each service was last known to be in use. Not thread-safe. */
public final class VersionSightings {

  private final Map<StreamOrigin, Long> lastAtMillis = new HashMap<>();

  /**
   * Records that a version was in use.
   *
   * @param version service and version
   * @param atMillis monotonic time in milliseconds
   * @return true if it was not known
   */
  public boolean add(StreamOrigin version, long atMillis) {
    boolean isNew = !lastAtMillis.containsKey(version);
    lastAtMillis.merge(version, atMillis, Math::max);
    return isNew;
  }

  /**
   * Forgets what was last in use before a time.
   *
   * @param millis monotonic time in milliseconds
   */
  public void expire(long millis) {
    lastAtMillis.values().removeIf(at -> at < millis);
  }

  /**
   * Returns all versions that are not forgotten.
   *
   * @return a copy
   */
  public Set<StreamOrigin> all() {
    return Set.copyOf(lastAtMillis.keySet());
  }

  /**
   * Returns the versions of a service that were in use at a time or later.
   *
   * @param service name of the service
   * @param millis monotonic time in milliseconds
   * @return a copy
   */
  public Set<StreamOrigin> since(String service, long millis) {
    Set<StreamOrigin> result = new HashSet<>();
    lastAtMillis.forEach(
        (version, at) -> {
          if (version.service().equals(service) && at >= millis) {
            result.add(version);
          }
        });
    return result;
  }
}
