package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Catalog of the upstreams available for new requests. Entries that expire while the platform's
 * store is unavailable reappear soon after it recovers if the upstream is still running, so a
 * removal reported right after an outage takes effect only after a grace period. Not thread-safe.
 */
public final class UpstreamCatalog {

  /**
   * Grace period after the store recovers, in milliseconds. Running upstreams are listed again
   * about two seconds after the recovery. An upstream that did leave must get no requests from two
   * seconds after the store recorded its removal, so the grace period is shorter by the transit
   * time of a request.
   */
  public static final long REMOVAL_GRACE_MILLIS = 1_800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * Time after a restoration of the store during which the row of an upstream that had been removed
   * before is taken for that of the copy, in milliseconds. The row of an upstream that has ended is
   * removed again after three heartbeats, which take less than four seconds; one that still runs
   * writes its row anew.
   */
  public static final long COPIED_ROW_MILLIS = 10_000;

  /** Age in milliseconds from which on a removal is older than any copy of the store. */
  private static final long MAX_COPY_AGE_MILLIS = 60_000;

  /** Number of leaving instances above which those that are no longer listed are forgotten. */
  private static final int MAX_LEAVING = 2_000;

  private final Map<String, UpstreamEntry> entries = new LinkedHashMap<>();
  private final Set<LeavingUpstream> leaving = new HashSet<>();
  private final Map<String, Long> graceEndMillisById = new HashMap<>();
  private final Map<String, Long> reportedUntilMillisById = new HashMap<>();
  private final Map<LeavingUpstream, Long> removedAtMillis = new LinkedHashMap<>();
  private long storeRegainedAtMillis = NEVER;
  private long storeRestoredAtMillis = NEVER;

  /**
   * Records that the store is available again after an outage.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onStoreRegained(long nowMillis) {
    storeRegainedAtMillis = nowMillis;
  }

  /**
   * Records that the store was restored from an older copy. An upstream that had said that it is
   * shutting down gets no new requests although the copy may list it as before, and one that was
   * removed gets none until it writes its entry again. Entries that the copy lacks are missing
   * until their upstreams write them again.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the instances that are known to be shutting down
   */
  public List<LeavingUpstream> onStoreRestored(long nowMillis) {
    storeRegainedAtMillis = nowMillis;
    storeRestoredAtMillis = nowMillis;
    removedAtMillis.values().removeIf(at -> nowMillis - at > MAX_COPY_AGE_MILLIS);
    entries.values().stream()
        .filter(UpstreamEntry::leaving)
        .forEach(e -> onLeaving(LeavingUpstream.of(e)));
    return List.copyOf(leaving);
  }

  /**
   * Records that an upstream has written its entry while the store was followed, so that the entry
   * is not that of an older copy.
   *
   * @param instance the upstream
   */
  public void onWritten(LeavingUpstream instance) {
    removedAtMillis.remove(instance);
  }

  /**
   * Adds or replaces an entry.
   *
   * @param entry description that the upstream published
   * @return true if the upstream is new or its entry changed
   */
  public boolean put(UpstreamEntry entry) {
    graceEndMillisById.remove(entry.id());
    reportedUntilMillisById.remove(entry.id());
    return !entry.equals(entries.put(entry.id(), entry));
  }

  /**
   * Adds an entry of which only another daemon has told. It is used for some seconds, unless the
   * store lists or removes it before.
   *
   * @param entry description that the upstream published
   * @param nowMillis monotonic time in milliseconds
   * @return false if the upstream is known, has been removed or is shutting down
   */
  public boolean putReported(UpstreamEntry entry, long nowMillis) {
    if (entries.containsKey(entry.id())
        || isKnownToLeave(entry)
        || removedAtMillis.containsKey(LeavingUpstream.of(entry))) {
      return false;
    }
    entries.put(entry.id(), entry);
    reportedUntilMillisById.put(entry.id(), nowMillis + ReportedUpstreams.KEEP_MILLIS);
    return true;
  }

  /**
   * Records that an instance has said that it is shutting down. It gets no new requests, whatever
   * its entry says, until another instance is listed in its place.
   *
   * @param instance the instance
   * @return true if that was not known
   */
  public boolean onLeaving(LeavingUpstream instance) {
    if (leaving.size() >= MAX_LEAVING) {
      leaving.removeIf(l -> find(l.id()).filter(e -> LeavingUpstream.of(e).equals(l)).isEmpty());
    }
    return leaving.add(instance);
  }

  /**
   * Removes an entry, after the grace period if one is running and the upstream is not leaving.
   *
   * @param id identity of the upstream
   * @param nowMillis monotonic time in milliseconds
   * @return true if the entry was removed, false if it is unknown or the grace period is running
   */
  public boolean remove(String id, long nowMillis) {
    long graceEnd = storeRegainedAtMillis + REMOVAL_GRACE_MILLIS;
    UpstreamEntry e = entries.get(id);
    if (e == null) {
      return false;
    }
    if (nowMillis < graceEnd && !e.leaving() && !isKnownToLeave(e)) {
      graceEndMillisById.put(id, graceEnd);
      return false;
    }
    graceEndMillisById.remove(id);
    reportedUntilMillisById.remove(id);
    entries.remove(id);
    onRemoved(e, nowMillis);
    return true;
  }

  /** Remembers a removal, since an older copy of the store would undo it. */
  private void onRemoved(UpstreamEntry entry, long nowMillis) {
    LeavingUpstream instance = LeavingUpstream.of(entry);
    if (entry.leaving()) {
      onLeaving(instance);
    }
    if (removedAtMillis.size() >= MAX_LEAVING) {
      removedAtMillis.remove(removedAtMillis.keySet().iterator().next());
    }
    removedAtMillis.put(instance, nowMillis);
  }

  /**
   * Removes an entry without a grace period.
   *
   * @param id identity of the upstream
   * @return true if the entry was removed, false if it is unknown
   */
  public boolean drop(String id) {
    graceEndMillisById.remove(id);
    reportedUntilMillisById.remove(id);
    return entries.remove(id) != null;
  }

  /**
   * Replaces all entries; upstreams that are missing from the list are removed as by {@link
   * #remove}.
   *
   * @param list all entries
   * @param nowMillis monotonic time in milliseconds
   * @return identifiers of the upstreams that were removed
   */
  public List<String> replaceAll(List<UpstreamEntry> list, long nowMillis) {
    Set<String> missing = new HashSet<>(entries.keySet());
    for (UpstreamEntry e : list) {
      put(e);
      missing.remove(e.id());
    }
    missing.removeIf(id -> !remove(id, nowMillis));
    return List.copyOf(missing);
  }

  /**
   * Returns the upstreams of a service that accept new requests.
   *
   * @param service name of the service
   * @param nowMillis monotonic time in milliseconds
   * @return the upstreams in a stable order
   */
  public List<UpstreamEntry> usable(String service, long nowMillis) {
    removeExpired(nowMillis);
    List<UpstreamEntry> result = new ArrayList<>();
    for (UpstreamEntry e : entries.values()) {
      if (e.service().equals(service)
          && !e.leaving()
          && !isKnownToLeave(e)
          && !isCopied(e, nowMillis)) {
        result.add(e);
      }
    }
    return result;
  }

  /** Returns whether an entry was removed before the store was restored, and not written since. */
  private boolean isCopied(UpstreamEntry entry, long nowMillis) {
    return nowMillis - storeRestoredAtMillis < COPIED_ROW_MILLIS
        && removedAtMillis.getOrDefault(LeavingUpstream.of(entry), Long.MAX_VALUE)
            < storeRestoredAtMillis;
  }

  private boolean isKnownToLeave(UpstreamEntry entry) {
    return !leaving.isEmpty() && leaving.contains(LeavingUpstream.of(entry));
  }

  /**
   * Returns all upstreams, including those that are leaving.
   *
   * @return their entries
   */
  public Collection<UpstreamEntry> all() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /**
   * Finds an upstream.
   *
   * @param id identity of the upstream
   * @return its entry, or empty if it is unknown or removed
   */
  public Optional<UpstreamEntry> find(String id) {
    return Optional.ofNullable(entries.get(id));
  }

  /**
   * Returns the number of upstreams, including those that are leaving.
   *
   * @return 0 or more
   */
  public int size() {
    return entries.size();
  }

  private void removeExpired(long nowMillis) {
    reportedUntilMillisById
        .entrySet()
        .removeIf(
            e -> {
              boolean isDue = e.getValue() <= nowMillis;
              if (isDue) {
                entries.remove(e.getKey());
              }
              return isDue;
            });
    if (graceEndMillisById.isEmpty()) {
      return;
    }
    graceEndMillisById
        .entrySet()
        .removeIf(
            e -> {
              boolean isDue = e.getValue() <= nowMillis;
              if (isDue) {
                Optional.ofNullable(entries.remove(e.getKey()))
                    .ifPresent(entry -> onRemoved(entry, nowMillis));
              }
              return isDue;
            });
  }
}
