package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The upstreams that new requests may go to. Entries that lapse while the platform's store is away
 * come back soon after its return if the upstream lives, so a removal that is learned right after
 * an outage takes effect only when that time is over. Not thread-safe.
 */
public final class UpstreamCatalog {

  /**
   * Live upstreams are listed again about two seconds after the store's return. An upstream that
   * really left must get no request two seconds after the store took its leave, so the grace is
   * shorter by the time that a request needs on its way.
   */
  public static final long LAPSE_GRACE_MILLIS = 1_800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, UpstreamEntry> entries = new LinkedHashMap<>();
  private final Map<String, Long> lapsing = new HashMap<>();
  private long regainedAtMillis = NEVER;

  /**
   * Notes that the store answers again after an outage.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onStoreRegained(long nowMillis) {
    regainedAtMillis = nowMillis;
  }

  /**
   * Takes an entry.
   *
   * @param entry what an upstream says of itself
   * @return true if it differs from what was known
   */
  public boolean put(UpstreamEntry entry) {
    lapsing.remove(entry.id());
    return !entry.equals(entries.put(entry.id(), entry));
  }

  /**
   * Takes the removal of an entry.
   *
   * @param id identity of the upstream
   * @param nowMillis monotonic time in milliseconds
   * @return true if the upstream is gone, false if it is unknown or may only have lapsed
   */
  public boolean remove(String id, long nowMillis) {
    long graceEnd = regainedAtMillis + LAPSE_GRACE_MILLIS;
    UpstreamEntry e = entries.get(id);
    if (e == null) {
      return false;
    }
    if (nowMillis < graceEnd && !e.leaving()) {
      lapsing.put(id, graceEnd);
      return false;
    }
    lapsing.remove(id);
    entries.remove(id);
    return true;
  }

  /**
   * Takes a complete list; upstreams that are missing from it are removed.
   *
   * @param list all entries
   * @param nowMillis monotonic time in milliseconds
   */
  public void replaceAll(List<UpstreamEntry> list, long nowMillis) {
    Set<String> missing = new HashSet<>(entries.keySet());
    for (UpstreamEntry e : list) {
      put(e);
      missing.remove(e.id());
    }
    missing.forEach(id -> remove(id, nowMillis));
  }

  /**
   * Returns the upstreams of a service that take new requests.
   *
   * @param service name of the service
   * @param nowMillis monotonic time in milliseconds
   * @return the upstreams in a stable order
   */
  public List<UpstreamEntry> usable(String service, long nowMillis) {
    dropLapsed(nowMillis);
    List<UpstreamEntry> result = new ArrayList<>();
    for (UpstreamEntry e : entries.values()) {
      if (e.service().equals(service) && !e.leaving()) {
        result.add(e);
      }
    }
    return result;
  }

  /**
   * Finds an upstream.
   *
   * @param id identity of the upstream
   * @return what it says of itself, or empty if it is unknown or gone
   */
  public Optional<UpstreamEntry> find(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /**
   * Returns the number of upstreams, those that are leaving included.
   *
   * @return 0 or more
   */
  public int size() {
    return entries.size();
  }

  private void dropLapsed(long nowMillis) {
    if (lapsing.isEmpty()) {
      return;
    }
    lapsing
        .entrySet()
        .removeIf(
            e -> {
              boolean due = e.getValue() <= nowMillis;
              if (due) {
                entries.remove(e.getKey());
              }
              return due;
            });
  }
}
