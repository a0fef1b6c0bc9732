package org.hibiscusreel.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Room of one brittle upstream, which ends if it has to reject too many requests within a second.
 * Each daemon has a share of the room, and may use what the others leave free as long as it hears
 * from all of them. A daemon whose request was rejected sends nothing for more than a second, so
 * that it adds one rejection a second at most. Not thread-safe.
 */
final class BrittleRoom {

  /** First pause after a rejection in milliseconds; upstreams count rejections over a second. */
  static final long FIRST_HOLD_MILLIS = 1_100;

  /** Longest pause after a rejection, in milliseconds. */
  static final long MAX_HOLD_MILLIS = 4_400;

  /** Time after a rejection in which only shares are used, in milliseconds. */
  static final long CAUTION_MILLIS = 5_000;

  /**
   * Shortest time between two uses of free room beyond the share in intervals of the reports, so
   * that the others know of the first one.
   */
  static final long BORROW_INTERVALS = 2;

  /** Rejections per second that an upstream has to survive so that free room is used. */
  static final int MIN_BORROW_TOLERANCE = 2;

  /** Rise of the bound on the requests in progress after a rejection, in requests per second. */
  private static final double RISE_PER_SECOND = 1.5;

  /**
   * Part of the requests in progress at a rejection for which room is expected afterwards. The rest
   * is for those that other daemons have sent meanwhile.
   */
  private static final double BOUND_FRACTION = 0.9;

  /** Rejections that are kept; more have the same effect. */
  private static final int MAX_KEPT_REJECTIONS = 100;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Deque<Long> rejectedAtMillis = new ArrayDeque<>();
  private double bound = Integer.MAX_VALUE;
  private long boundAtMillis;
  private long holdMillis;
  private long holdEndMillis = NEVER;
  private long borrowedAtMillis = NEVER;

  /** Creates the room of an instance of which nothing is known. */
  BrittleRoom() {}

  /**
   * Creates the room of an instance that has as much room as another one of its service.
   *
   * @param other room of the other instance
   * @param nowMillis monotonic time in milliseconds
   */
  BrittleRoom(BrittleRoom other, long nowMillis) {
    bound = other.bound(nowMillis);
    boundAtMillis = nowMillis;
  }

  /**
   * Tells whether this daemon may send a request.
   *
   * @param use requests in progress
   * @param share part of this daemon
   * @param tolerance rejections per second that the upstream survives
   * @param draw random number from 0 to 1, new for each request
   * @param nowMillis monotonic time in milliseconds
   * @return true if there is room
   */
  boolean admits(BrittleUse use, BrittleShare share, int tolerance, double draw, long nowMillis) {
    int room = Math.min(use.capacity(), bound(nowMillis));
    boolean isFull = use.total() >= room;
    if (isFull || remainingMillis(tolerance, nowMillis) > 0) {
      return false;
    }
    if (use.own() < share.of(room)) {
      return true;
    }
    // Daemons that see the same free room do not all use it: on average they fill half of the
    // room, and the shares of the others have the rest.
    return share.mayBorrow()
        && tolerance >= MIN_BORROW_TOLERANCE
        && rejectionsWithin(CAUTION_MILLIS, nowMillis) == 0
        && nowMillis - borrowedAtMillis >= BORROW_INTERVALS * share.reportMillis()
        && draw * share.daemons() < room / 2 - use.total();
  }

  /** Records that this daemon sends a request, not yet counted among those in progress. */
  void onSent(BrittleUse use, BrittleShare share, long nowMillis) {
    if (use.own() >= share.of(Math.min(use.capacity(), bound(nowMillis)))) {
      borrowedAtMillis = nowMillis;
    }
  }

  /**
   * Records that the upstream rejected a request of this daemon.
   *
   * @param use requests in progress, with the rejected one
   * @param nowMillis monotonic time in milliseconds
   */
  void onRejected(BrittleUse use, long nowMillis) {
    boolean isRepeated = nowMillis - holdEndMillis < CAUTION_MILLIS;
    holdMillis = isRepeated ? Math.min(MAX_HOLD_MILLIS, 2 * holdMillis) : FIRST_HOLD_MILLIS;
    holdEndMillis = nowMillis + holdMillis;
    // The reports of requests in progress may be missing, so one rejection halves the bound at
    // most.
    int half = Math.min(bound(nowMillis), use.capacity()) / 2;
    addRejections(1, Math.max(half, (int) (BOUND_FRACTION * (use.total() - 1))), nowMillis);
  }

  /**
   * Records that the upstream rejected requests of another daemon.
   *
   * @param count number of requests
   * @param newBound requests in progress for which that daemon expects room
   * @param nowMillis monotonic time in milliseconds
   */
  void onOthersRejected(long count, int newBound, long nowMillis) {
    addRejections(count, newBound, nowMillis);
  }

  private void addRejections(long count, int newBound, long nowMillis) {
    for (long i = 0; i < Math.min(count, MAX_KEPT_REJECTIONS); i++) {
      rejectedAtMillis.add(nowMillis);
    }
    while (rejectedAtMillis.size() > MAX_KEPT_REJECTIONS) {
      rejectedAtMillis.remove();
    }
    bound = Math.max(1, Math.min(bound(nowMillis), newBound));
    boundAtMillis = nowMillis;
  }

  /**
   * Records that another upstream of the service has rejected requests, which probably has as much
   * room.
   *
   * @param newBound requests in progress for which it is expected to have room
   * @param nowMillis monotonic time in milliseconds
   */
  void onOtherUpstreamRejected(int newBound, long nowMillis) {
    if (newBound < bound(nowMillis)) {
      bound = Math.max(1, newBound);
      boundAtMillis = nowMillis;
    }
  }

  /** Returns the requests in progress for which room is expected. */
  int bound(long nowMillis) {
    double rise = RISE_PER_SECOND * (nowMillis - boundAtMillis) / MILLIS_PER_SECOND;
    return (int) Math.min(Integer.MAX_VALUE, bound + rise);
  }

  /**
   * Returns for how long this daemon sends nothing. All daemons pause while as many requests were
   * rejected as half of what is tolerated.
   */
  long remainingMillis(int tolerance, long nowMillis) {
    int most = Math.max(1, (tolerance + 1) / 2);
    long pause = Math.max(0, holdEndMillis - nowMillis);
    return rejectionsWithin(FIRST_HOLD_MILLIS, nowMillis) >= most
        ? Math.max(pause, FIRST_HOLD_MILLIS - (nowMillis - rejectedAtMillis.getLast()))
        : pause;
  }

  private long rejectionsWithin(long millis, long nowMillis) {
    return rejectedAtMillis.stream().filter(at -> nowMillis - at < millis).count();
  }
}
