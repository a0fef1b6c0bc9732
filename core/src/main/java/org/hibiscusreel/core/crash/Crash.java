package org.hibiscusreel.core.crash;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;
import org.hibiscusreel.core.forward.AttemptProgress;

/** One crash of an upstream, with the requests that it had not answered completely. */
final class Crash {

  private static final int MAX_TRAITS = 500;

  private final String upstream;
  private final long atMillis;
  private final Map<AttemptProgress, Set<String>> traits = new EnumMap<>(AttemptProgress.class);
  private Set<String> explanation = Set.of();
  private boolean withdrawn;

  Crash(String upstream, long atMillis) {
    this.upstream = upstream;
    this.atMillis = atMillis;
    for (AttemptProgress p : AttemptProgress.values()) {
      traits.put(p, new HashSet<>());
    }
  }

  String upstream() {
    return upstream;
  }

  long atMillis() {
    return atMillis;
  }

  /** Adds a request, unless there are too many traits already. */
  void add(Sighting sighting) {
    if (size() + sighting.traits().size() <= MAX_TRAITS) {
      traits.get(sighting.progress()).addAll(sighting.traits());
    }
  }

  /** Returns whether a request with the trait may have caused the crash. */
  boolean involves(String trait) {
    return progress(trait).isPresent();
  }

  /**
   * Returns how far the upstream had got with the requests that had a trait and may be the cause.
   */
  Optional<AttemptProgress> progress(String trait) {
    if (isStarted(trait)) {
      return Optional.of(AttemptProgress.STARTED);
    }
    if (!hasStarted() && traits.get(AttemptProgress.WAITING).contains(trait)) {
      return Optional.of(AttemptProgress.WAITING);
    }
    return Optional.of(AttemptProgress.ANSWERING).filter(p -> traits.get(p).contains(trait));
  }

  /** Returns whether a request with the trait had just been started. */
  boolean isStarted(String trait) {
    return traits.get(AttemptProgress.STARTED).contains(trait);
  }

  /** Returns the traits of all requests that may have caused the crash. */
  Set<String> cohort() {
    Set<String> result = new HashSet<>(traits.get(AttemptProgress.STARTED));
    result.addAll(traits.get(AttemptProgress.ANSWERING));
    if (!hasStarted()) {
      result.addAll(traits.get(AttemptProgress.WAITING));
    }
    return result;
  }

  /** Returns whether the requests that may have caused the crash had all of the traits. */
  boolean involvesAll(Set<String> all) {
    return all.stream().allMatch(this::involves);
  }

  private boolean hasStarted() {
    return !traits.get(AttemptProgress.STARTED).isEmpty();
  }

  /** Returns the number of stored traits. */
  int size() {
    return traits.values().stream().mapToInt(Set::size).sum();
  }

  /** Returns the blocked traits that caused the crash, empty if it is unexplained. */
  Set<String> explanation() {
    return explanation;
  }

  void explainBy(Set<String> cause) {
    explanation = cause;
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
