package org.hibiscusreel.core.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds requests that crash the upstreams that execute them. A fingerprint is blocked if it was the
 * only one that the upstream executed at a crash, or if it is the only one in common to two
 * crashes. What several daemons report about one crash is one cohort. Not thread-safe.
 */
public final class CrashFingerprints {
  /** Crashes after which a request waits for the decision. */
  public static final int MAX_CRASHES = 2;

  /** Time that a crash is remembered, in milliseconds. */
  public static final long MEMORY_MILLIS = 600_000;

  /** Time that a fingerprint stays blocked, in milliseconds. */
  public static final long BLOCK_MILLIS = 86_400_000;

  /** Reports about one upstream within this time are about the same crash, in milliseconds. */
  public static final long SAME_CRASH_MILLIS = 5_000;

  /** Time to wait for the reports of other daemons before a cohort is judged, in milliseconds. */
  public static final long GRACE_MILLIS = 1_000;

  private static final int MAX_CRASHES_KEPT = 1_000;
  private static final int MAX_BLOCKED = 10_000;

  /**
   * A fingerprint that was being executed at a crash.
   *
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param upstream upstream that crashed
   * @param atMillis wall-clock time in milliseconds since the epoch
   */
  public record Sighting(String fingerprint, String upstream, long atMillis) {}

  private static final class Crash {
    final String upstream;
    final long atMillis;
    final Set<String> cohort = new HashSet<>();

    Crash(String upstream, long atMillis) {
      this.upstream = upstream;
      this.atMillis = atMillis;
    }
  }

  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final Map<String, Long> blocked = new LinkedHashMap<>();
  private final Map<String, Long> cleared = new LinkedHashMap<>();

  /**
   * Records a crash that this daemon observed.
   *
   * @param upstream the upstream
   * @param inFlight fingerprints of the requests that it was executing for this daemon
   * @param alone whether it is known that it executed nothing else
   * @param atMillis wall-clock time in milliseconds since the epoch
   * @return the sightings to report to the other daemons
   */
  public List<Sighting> onCrash(
      String upstream, Set<String> inFlight, boolean alone, long atMillis) {
    List<Sighting> result = new ArrayList<>();
    for (String f : inFlight) {
      result.add(new Sighting(f, upstream, atMillis));
    }
    onReport(result);
    if (alone && inFlight.size() == 1) {
      block(inFlight.iterator().next(), atMillis);
    }
    return result;
  }

  /**
   * Takes the sightings of another daemon.
   *
   * @param sightings the sightings
   */
  public void onReport(List<Sighting> sightings) {
    for (Sighting s : sightings) {
      crashOf(s).cohort.add(s.fingerprint());
    }
    while (crashes.size() > MAX_CRASHES_KEPT) {
      crashes.removeFirst();
    }
  }

  private Crash crashOf(Sighting s) {
    for (Crash c : crashes) {
      boolean same =
          c.upstream.equals(s.upstream())
              && Math.abs(c.atMillis - s.atMillis()) < SAME_CRASH_MILLIS;
      if (same) {
        return c;
      }
    }
    Crash c = new Crash(s.upstream(), s.atMillis());
    crashes.addLast(c);
    return c;
  }

  private void block(String fingerprint, long atMillis) {
    blocked.put(fingerprint, atMillis);
    trim(blocked);
  }

  private static void trim(Map<String, Long> map) {
    Iterator<String> oldest = map.keySet().iterator();
    while (map.size() > MAX_BLOCKED) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Whether a request may be dispatched. */
  public enum Verdict {
    /** Nothing is known against it. */
    CLEAR,
    /** It was in flight at one crash; it must not share an upstream with another suspect. */
    SUSPECT,
    /** It was in flight at several crashes and the cause is not known yet. */
    UNDECIDED,
    /** It is the cause. */
    BLOCKED
  }

  /**
   * Judges a request.
   *
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return the verdict
   */
  public Verdict judge(String fingerprint, long wallMillis) {
    Long at = blocked.get(fingerprint);
    if (at != null && at + BLOCK_MILLIS >= wallMillis) {
      return Verdict.BLOCKED;
    }
    crashes.removeIf(c -> c.atMillis + MEMORY_MILLIS < wallMillis);
    if (crashes.isEmpty()) {
      return Verdict.CLEAR;
    }
    List<Crash> involved = involved(fingerprint);
    if (involved.size() < MAX_CRASHES) {
      return involved.isEmpty() ? Verdict.CLEAR : Verdict.SUSPECT;
    }
    long newest = involved.stream().mapToLong(c -> c.atMillis).max().orElse(0);
    if (newest + GRACE_MILLIS > wallMillis) {
      return Verdict.UNDECIDED;
    }
    Set<String> common = new HashSet<>(involved.get(0).cohort);
    involved.forEach(c -> common.retainAll(c.cohort));
    if (common.size() == 1) {
      block(fingerprint, wallMillis);
      return Verdict.BLOCKED;
    }
    return Verdict.SUSPECT;
  }

  private List<Crash> involved(String fingerprint) {
    long since = cleared.getOrDefault(fingerprint, Long.MIN_VALUE);
    return crashes.stream()
        .filter(c -> c.atMillis > since && c.cohort.contains(fingerprint))
        .toList();
  }

  /**
   * Clears a request that completed, since the cause of a crash does not complete.
   *
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param wallMillis wall-clock time in milliseconds since the epoch
   */
  public void onCompleted(String fingerprint, long wallMillis) {
    if (!crashes.isEmpty()) {
      cleared.remove(fingerprint);
      cleared.put(fingerprint, wallMillis);
      trim(cleared);
    }
  }
}
