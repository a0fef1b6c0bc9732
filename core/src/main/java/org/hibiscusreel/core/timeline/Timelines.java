package org.hibiscusreel.core.timeline;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Merges the events of several processes. */
public final class Timelines {

  private static final Comparator<TimelineEvent> ORDER =
      Comparator.comparing(TimelineEvent::at)
          .thenComparing(TimelineEvent::process)
          .thenComparing(TimelineEvent::kind)
          .thenComparing(TimelineEvent::detail);

  private Timelines() {}

  /**
   * Merges events in causal order. Events of equal stamps, which are not causally related, are
   * ordered by process.
   *
   * @param events events in any order, possibly several times
   * @param wanted which events to keep
   * @return the events without duplicates
   */
  public static List<TimelineEvent> merge(
      Collection<TimelineEvent> events, Predicate<TimelineEvent> wanted) {
    return events.stream().filter(wanted).distinct().sorted(ORDER).toList();
  }
}
