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
 * Detects requests that crash the upstreams that execute them. A fingerprint is blocked if it was
 * the only one that the upstream was executing at the time of a crash, or if it is the only one
 * common to two crashes. The reports of several daemons about the same crash are merged into one
 * cohort. Not thread-safe.
 */
public final class CrashDetector {
  /** Number of crashes at which a request is held back until a verdict is reached. */
  public static final int MAX_CRASHES = 2;

  /** Time for which a crash is remembered, in milliseconds. */
  public static final long RETENTION_MILLIS = 600_000;

  /** Time for which a fingerprint stays blocked, in milliseconds. */
  public static final long BLOCK_MILLIS = 86_400_000;

  /** Time within which reports about one upstream refer to the same crash, in milliseconds. */
  public static final long SAME_CRASH_MILLIS = 5_000;

  /**
   * Time to wait for the reports of other daemons before a cohort is evaluated, in milliseconds.
   */
  public static final long REPORT_GRACE_MILLIS = 1_000;

  private static final int MAX_STORED_CRASHES = 1_000;
  private static final int MAX_BLOCKED = 10_000;

  /**
   * Fingerprint of a request that was being executed at the time of a crash.
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
   * @param alone whether it is known that it was executing no other requests
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
   * Processes the sightings of another daemon.
   *
   * @param sightings the sightings
   */
  public void onReport(List<Sighting> sightings) {
    for (Sighting s : sightings) {
      findOrAddCrash(s).cohort.add(s.fingerprint());
    }
    while (crashes.size() > MAX_STORED_CRASHES) {
      crashes.removeFirst();
    }
  }

  private Crash findOrAddCrash(Sighting s) {
    for (Crash c : crashes) {
      boolean isSameCrash =
          c.upstream.equals(s.upstream())
              && Math.abs(c.atMillis - s.atMillis()) < SAME_CRASH_MILLIS;
      if (isSameCrash) {
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

  /** Verdict on whether a request may be dispatched. */
  public enum Verdict {
    /** The request is not suspected. */
    CLEAR,
    /**
     * The request was in flight at one crash; it must not share an upstream with another suspect.
     */
    SUSPECT,
    /** The request was in flight at several crashes, and the cause is not known yet. */
    UNDECIDED,
    /** The request is the cause of a crash. */
    BLOCKED
  }

  /**
   * Returns the verdict on a request.
   *
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return the verdict
   */
  public Verdict judge(String fingerprint, long wallMillis) {
    Long blockedAtMillis = blocked.get(fingerprint);
    if (blockedAtMillis != null && blockedAtMillis + BLOCK_MILLIS >= wallMillis) {
      return Verdict.BLOCKED;
    }
    crashes.removeIf(c -> c.atMillis + RETENTION_MILLIS < wallMillis);
    if (crashes.isEmpty()) {
      return Verdict.CLEAR;
    }
    List<Crash> crashesInvolving = crashesInvolving(fingerprint);
    if (crashesInvolving.size() < MAX_CRASHES) {
      return crashesInvolving.isEmpty() ? Verdict.CLEAR : Verdict.SUSPECT;
    }
    long newestMillis = crashesInvolving.stream().mapToLong(c -> c.atMillis).max().orElse(0);
    if (newestMillis + REPORT_GRACE_MILLIS > wallMillis) {
      return Verdict.UNDECIDED;
    }
    Set<String> commonFingerprints = new HashSet<>(crashesInvolving.get(0).cohort);
    crashesInvolving.forEach(c -> commonFingerprints.retainAll(c.cohort));
    if (commonFingerprints.size() == 1) {
      block(fingerprint, wallMillis);
      return Verdict.BLOCKED;
    }
    return Verdict.SUSPECT;
  }

  private List<Crash> crashesInvolving(String fingerprint) {
    long clearedAtMillis = cleared.getOrDefault(fingerprint, Long.MIN_VALUE);
    return crashes.stream()
        .filter(c -> c.atMillis > clearedAtMillis && c.cohort.contains(fingerprint))
        .toList();
  }

  /**
   * Clears a request that completed, since a request that causes a crash does not complete.
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
