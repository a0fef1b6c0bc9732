package org.hibiscusreel.bench.streams;

import java.util.List;

/**
 * What a run plays.
 *
 * @param daemons number of daemons
 * @param isNewestOnly whether the feed has only the newest change of each row
 * @param namesEra whether the store names its era
 * @param hasLoad whether each daemon always has streams, so that it sends load reports
 * @param millis duration
 * @param events the events
 */
record Plan(
    int daemons,
    boolean isNewestOnly,
    boolean namesEra,
    boolean hasLoad,
    long millis,
    List<PlanEvent> events) {

  Plan {
    events = List.copyOf(events);
  }

  /** Creates a plan without load. */
  Plan(int daemons, boolean isNewestOnly, boolean namesEra, long millis, List<PlanEvent> events) {
    this(daemons, isNewestOnly, namesEra, false, millis, events);
  }

  Plan withEvents(List<PlanEvent> changed) {
    return new Plan(daemons, isNewestOnly, namesEra, hasLoad, millis, changed);
  }
}
