package org.hibiscusreel.core.crash;

import java.util.HashSet;
import java.util.Set;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;

/** One crash of an upstream, with the traits of the requests that it had not answered. */
final class Crash {

  private static final int MAX_TRAITS = 500;

  private final String upstream;
  private final long atMillis;
  private final Set<String> startedTraits = new HashSet<>();
  private final Set<String> waitingTraits = new HashSet<>();
  private Set<String> explanation = Set.of();
  private boolean withdrawn;

  Crash(String upstream, long atMillis) {
    this.upstream = upstream;
    this.atMillis = atMillis;
  }

  String upstream() {
    return upstream;
  }

  long atMillis() {
    return atMillis;
  }

  /** Adds the traits of a request, unless there are too many already. */
  void add(Sighting sighting) {
    if (size() + sighting.traits().size() <= MAX_TRAITS) {
      (sighting.started() ? startedTraits : waitingTraits).addAll(sighting.traits());
    }
  }

  /** Returns the traits of the requests that may have caused the crash. */
  Set<String> cohort() {
    return hasStarted() ? startedTraits : waitingTraits;
  }

  boolean hasStarted() {
    return !startedTraits.isEmpty();
  }

  int size() {
    return startedTraits.size() + waitingTraits.size();
  }

  /** Returns the blocked traits that caused the crash, empty if it is unexplained. */
  Set<String> explanation() {
    return explanation;
  }

  void explainBy(Set<String> traits) {
    explanation = traits;
  }

  /** Returns whether the upstream turned out to be running. */
  boolean isWithdrawn() {
    return withdrawn;
  }

  void withdraw() {
    withdrawn = true;
  }

  void reinstate() {
    withdrawn = false;
  }
}
