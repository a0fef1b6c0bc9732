package org.hibiscusreel.bench.streams;

import java.util.List;
import org.hibiscusreel.core.forward.StreamOrigin;

/** One event of a plan. Times are in milliseconds since the start of the run. */
sealed interface PlanEvent {

  /** Returns the time of the event. */
  long atMillis();

  /** An upstream starts and lists itself, in the place of the one with the same identity. */
  record Join(long atMillis, String upstream, StreamOrigin origin, long listedAfterMillis)
      implements PlanEvent {}

  /** An upstream leaves: its entry says so or is removed, and it ends later. */
  record Leave(
      long atMillis,
      String upstream,
      boolean announces,
      long unlistedAfterMillis,
      long endsAfterMillis)
      implements PlanEvent {}

  /** An upstream ends without a word; its entry is removed later. */
  record Crash(long atMillis, String upstream, long unlistedAfterMillis) implements PlanEvent {}

  /** A daemon is killed and starts again, or does not if the time is negative. */
  record Kill(long atMillis, int daemon, long startsAfterMillis) implements PlanEvent {}

  /** A daemon is stopped as planned and starts again. */
  record Stop(long atMillis, int daemon, long startsAfterMillis) implements PlanEvent {}

  /** A daemon stands still. */
  record StandStill(long atMillis, int daemon, long millis, boolean clockCounts, boolean inputFirst)
      implements PlanEvent {}

  /** A daemon is cut off from the store. */
  record CutStore(long atMillis, int daemon, long millis, StoreLink.State state)
      implements PlanEvent {}

  /** A daemon is cut off from the others. */
  record CutPeers(long atMillis, int daemon, long millis) implements PlanEvent {}

  /** The store answers a daemon slowly. */
  record SlowStore(long atMillis, int daemon, long millis, long delayMillis) implements PlanEvent {}

  /** Datagrams are lost, delivered twice, or late. */
  record DisturbDatagrams(long atMillis, long millis, double loss, double repeat, int lateMillis)
      implements PlanEvent {}

  /** Some writes have no response and are performed late. */
  record LateWrites(long atMillis, long millis, double probability) implements PlanEvent {}

  /** The store loses the history of its changes. */
  record LoseHistory(long atMillis) implements PlanEvent {}

  /** The store is restored from an older copy. */
  record Restore(long atMillis, long ageMillis, long entriesAfterMillis) implements PlanEvent {}

  /** The operator leads the route to services, or removes it. */
  record Configure(long atMillis, List<String> services) implements PlanEvent {}

  /**
   * A caller begins a stream.
   *
   * @param daemons daemons that it turns to, in turn
   * @param breaksAfterMillis times after which the connection of each of its requests breaks, as
   *     far as it does
   * @param pauseMillis pause before the next request
   * @param named whether it names the request that brought the first event
   * @param isBreakSeen whether the daemon notices at once that the connection broke
   * @param isPersistent whether it goes on after a refusal for good
   */
  record Begin(
      long atMillis,
      String stream,
      List<Integer> daemons,
      List<Long> breaksAfterMillis,
      long pauseMillis,
      boolean named,
      boolean isBreakSeen,
      boolean isPersistent)
      implements PlanEvent {}
}
