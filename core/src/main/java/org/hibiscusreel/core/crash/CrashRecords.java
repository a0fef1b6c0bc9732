package org.hibiscusreel.core.crash;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;

/** The crashes that are remembered, bounded in number and size. Not thread-safe. */
final class CrashRecords {

  /** Time within which reports about one upstream refer to the same crash, in milliseconds. */
  static final long SAME_CRASH_MILLIS = 5_000;

  private static final int MAX_CRASHES = 1_000;
  private static final int MAX_TRAITS = 20_000;

  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final boolean oncePerUpstream;
  private int traitCount;

  /**
   * Creates an empty store.
   *
   * @param oncePerUpstream whether a name stands for one run of an upstream, which can crash only
   *     once
   */
  CrashRecords(boolean oncePerUpstream) {
    this.oncePerUpstream = oncePerUpstream;
  }

  boolean isEmpty() {
    return crashes.isEmpty();
  }

  int traitCount() {
    return traitCount;
  }

  /** Returns the crashes that were not withdrawn. */
  Stream<Crash> stream() {
    return crashes.stream().filter(c -> !c.isWithdrawn());
  }

  /** Adds a request to its crash, which is created if it is not known. */
  Crash add(Sighting sighting) {
    Crash crash = findOrCreate(sighting);
    int before = crash.size();
    crash.add(sighting);
    traitCount += crash.size() - before;
    while (crashes.size() > MAX_CRASHES || traitCount > MAX_TRAITS) {
      traitCount -= crashes.removeFirst().size();
    }
    return crash;
  }

  private Crash findOrCreate(Sighting s) {
    for (Crash c : crashes) {
      if (c.upstream().equals(s.upstream()) && isSame(c, s)) {
        return c;
      }
    }
    Crash c = new Crash(s.upstream(), s.atMillis());
    crashes.addLast(c);
    return c;
  }

  /**
   * Returns whether a sighting belongs to a crash of its upstream. A report that was delayed, since
   * its receiver was frozen, has a time that is too late.
   */
  private boolean isSame(Crash crash, Sighting sighting) {
    boolean isNear = Math.abs(crash.atMillis() - sighting.atMillis()) < SAME_CRASH_MILLIS;
    return isNear || (oncePerUpstream && !crash.isWithdrawn());
  }

  /** Withdraws the crashes for which a condition holds; returns whether there were any. */
  boolean withdraw(Predicate<Crash> condition) {
    List<Crash> found = stream().filter(condition).toList();
    found.forEach(Crash::withdraw);
    return !found.isEmpty();
  }

  void removeBefore(long atMillis) {
    while (!crashes.isEmpty() && crashes.peekFirst().atMillis() < atMillis) {
      traitCount -= crashes.removeFirst().size();
    }
  }
}
