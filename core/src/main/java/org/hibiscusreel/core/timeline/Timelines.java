package org.hibiscusreel.core.timeline;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Merges the time lines of several processes. */
public final class Timelines {

  private static final Comparator<TimelineEvent> ORDER =
      Comparator.comparing(TimelineEvent::at)
          .thenComparing(TimelineEvent::process)
          .thenComparing(TimelineEvent::kind)
          .thenComparing(TimelineEvent::detail);

  private Timelines() {}

  /**
   * Merges events in causal order. Events with equal timestamps, which have no causal relation, are
   * ordered by process.
   *
   * @param events events in any order, possibly with duplicates
   * @param filter predicate for the events to keep
   * @return the events without duplicates
   */
  public static List<TimelineEvent> merge(
      Collection<TimelineEvent> events, Predicate<TimelineEvent> filter) {
    return events.stream().filter(filter).distinct().sorted(ORDER).toList();
  }
}
