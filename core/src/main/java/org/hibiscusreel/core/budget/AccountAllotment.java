package org.hibiscusreel.core.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Part of a client account's prepaid tokens that this daemon has drawn and may spend without
 * further coordination. While the outcome of a change is unknown, the worst case is assumed: an
 * increase can't be spent, a decrease is already deducted, and the lowest of the ceilings that the
 * store may hold applies. Not thread-safe.
 */
public final class AccountAllotment {

  /**
   * Time whose demand the daemon holds in advance, in milliseconds. Outages of the platform's store
   * last up to nine seconds on the current sites; the rest covers rising demand during an outage.
   */
  public static final long HOLD_AHEAD_MILLIS = 12_000;

  /**
   * Time whose demand a ceiling allows beyond the consumed tokens, in addition to one request of
   * typical size, in milliseconds. Tokens that the ceiling of a dead daemon allows until the daemon
   * is replaced, about three seconds later, are lost for the day unless it consumed them.
   */
  private static final long CEILING_AHEAD_MILLIS = 4_000;

  /**
   * Time after its declaration during which a ceiling does not rise, in milliseconds. The rise
   * begins before the demand that the ceiling allows from the start is used up, because the
   * estimate of the demand may be slightly low.
   */
  private static final long CEILING_STEADY_MILLIS = 3_800;

  /**
   * Time for which a new incarnation holds the tokens that its predecessor wanted, in milliseconds,
   * until it has measured its own demand.
   */
  private static final long INHERITED_MILLIS = HOLD_AHEAD_MILLIS;

  /** Rise of a ceiling as a multiple of the mean demand, since demand is bursty. */
  private static final double CEILING_RATE_FACTOR = 2;

  /**
   * Fraction of the inherited tokens that a ceiling allows at first. A third covers the mean demand
   * during {@link #CEILING_AHEAD_MILLIS}; the rest covers a request of typical size.
   */
  private static final double INHERITED_HEADROOM_FRACTION = 0.5;

  private final List<SpendingCeiling> ceilings = new ArrayList<>(List.of(SpendingCeiling.NONE));
  private RequestDemand demand; // null before the first request
  private long drawn;
  private long pending; // unconfirmed change of drawn, never positive
  private long spent;
  private long reserved;
  private long requests;
  private long inheritedWanted;
  private long inheritedUntilMillis;

  /**
   * Reserves tokens.
   *
   * @param tokens most that a request can consume
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis lower bound of the store's time in milliseconds
   * @return false if the allotment or the ceiling is too low
   * @throws IllegalArgumentException if the number of tokens is negative
   */
  public boolean tryReserve(long tokens, long nowMillis, long storeMillis) {
    if (tokens < 0) {
      throw new IllegalArgumentException("a reservation of " + tokens + " tokens");
    }
    if (tokens > free() || tokens > allowedByCeiling(storeMillis)) {
      return false;
    }
    reserved += tokens;
    addDemand(tokens, nowMillis);
    return true;
  }

  /**
   * Counts a request for the tokens to hold, whether or not they were reserved. Without it, a
   * daemon that draws too late for its first requests would not draw for the next ones.
   *
   * @param tokens most that the request can consume
   * @param nowMillis monotonic time in milliseconds
   */
  public void addDemand(long tokens, long nowMillis) {
    if (demand == null) {
      // Measures demand from the first request on, so that an earlier idle time does not lower the
      // rate.
      demand = new RequestDemand(nowMillis);
    }
    demand.add(tokens, nowMillis);
  }

  /**
   * Closes a reservation.
   *
   * @param tokens tokens that were reserved
   * @param used tokens that were consumed, at most the reserved ones
   */
  public void settle(long tokens, long used) {
    if (used < 0 || used > tokens) {
      throw new IllegalArgumentException("used " + used + " of " + tokens + " reserved tokens");
    }
    reserved -= tokens;
    spent += used;
    if (used > 0) {
      requests++;
    }
  }

  /**
   * Returns the tokens that are neither spent nor reserved.
   *
   * @return tokens, negative after a change that took more than was free
   */
  public long free() {
    return drawn + pending - spent - reserved;
  }

  /**
   * Returns the tokens that may still be reserved under the declared ceilings.
   *
   * @param storeMillis lower bound of the store's time in milliseconds
   * @return tokens, 0 or more
   */
  public long allowedByCeiling(long storeMillis) {
    long lowest = Long.MAX_VALUE;
    for (SpendingCeiling c : ceilings) {
      lowest = Math.min(lowest, c.at(storeMillis));
    }
    return Math.max(0, lowest - spent - reserved);
  }

  /**
   * Returns the number of unreserved tokens that this daemon wants to hold.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return tokens
   */
  public long wanted(long nowMillis) {
    long own = demand == null ? 0 : demand.coveringTokens(HOLD_AHEAD_MILLIS, nowMillis);
    return Math.max(own, inherited(nowMillis));
  }

  private long inherited(long nowMillis) {
    return nowMillis < inheritedUntilMillis ? inheritedWanted : 0;
  }

  /**
   * Returns the mean size of a request.
   *
   * @return tokens, 0 without requests
   */
  public double meanSize() {
    return demand == null ? 0 : demand.meanSize();
  }

  /**
   * Returns the next ceiling to declare.
   *
   * @param waiting tokens that waiting requests need
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis lower bound of the store's time in milliseconds
   * @return the ceiling
   */
  public SpendingCeiling nextCeiling(long waiting, long nowMillis, long storeMillis) {
    double own = demand == null ? 0 : demand.tokensPerMilli(nowMillis);
    double rate = Math.max(own, (double) inherited(nowMillis) / HOLD_AHEAD_MILLIS);
    long base = spent + reserved + waiting + headroom(nowMillis);
    return new SpendingCeiling(
        base, rate * CEILING_RATE_FACTOR, storeMillis + CEILING_STEADY_MILLIS);
  }

  private long headroom(long nowMillis) {
    long first = (long) (inherited(nowMillis) * INHERITED_HEADROOM_FRACTION);
    if (demand == null) {
      return first;
    }
    double ahead = demand.tokensPerMilli(nowMillis) * CEILING_AHEAD_MILLIS;
    return Math.max(first, (long) (demand.tokenWeightedMeanSize() + ahead));
  }

  /**
   * Tells whether a new ceiling should be declared, either because the current one allows too
   * little or because too many tokens would be lost if this daemon died.
   *
   * @param waiting tokens that waiting requests need
   * @param maxAgeMillis age after which a ceiling is replaced while tokens are usable, in
   *     milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis lower bound of the store's time in milliseconds
   * @return true to declare one
   */
  public boolean needsCeiling(long waiting, long maxAgeMillis, long nowMillis, long storeMillis) {
    long headroom = headroom(nowMillis);
    long usable = Math.min(allowedByCeiling(storeMillis), Math.max(0, free()));
    boolean isLow =
        waiting > allowedByCeiling(storeMillis) || usable < Math.min(free(), headroom / 2);
    long declaredAtMillis = ceilings.get(0).sinceMillis() - CEILING_STEADY_MILLIS;
    boolean isOld = storeMillis - declaredAtMillis > maxAgeMillis;
    return isLow || usable > 2 * headroom || (isOld && usable > 0);
  }

  /**
   * Begins a change of the drawn tokens and the ceiling. If the outcome of an earlier change is
   * still unknown, the smallest amount that may result is assumed.
   *
   * @param change tokens to draw if positive, to return if negative, or 0
   * @param ceiling ceiling to declare with the change
   */
  public void beginChange(long change, SpendingCeiling ceiling) {
    pending = Math.min(pending, change);
    ceilings.add(ceiling);
  }

  /**
   * Completes all changes with the values that the store holds.
   *
   * @param drawnInStore tokens drawn by this daemon
   * @param ceilingInStore ceiling that is in effect in the store
   */
  public void resolveChanges(long drawnInStore, SpendingCeiling ceilingInStore) {
    drawn = drawnInStore;
    pending = 0;
    ceilings.clear();
    ceilings.add(ceilingInStore);
  }

  /**
   * Completes all changes with their worst outcome, since the store that they were sent to is not
   * the one that is used from now on. The lowest ceiling goes on to apply.
   */
  public void assumeWorst() {
    drawn += pending;
    pending = 0;
  }

  /**
   * Returns the tokens that this daemon certainly holds, including those that it has consumed.
   *
   * @return tokens
   */
  public long held() {
    return drawn + pending;
  }

  /**
   * Takes over the allotment of a dead earlier incarnation of this daemon. Its tokens can be used
   * once {@link #resolveChanges} has confirmed them.
   *
   * @param spentAtMost largest number of tokens that it may have consumed
   * @param requestsKnown number of requests known to be billed
   * @param wantedLast tokens that it last wanted to hold
   * @param nowMillis monotonic time in milliseconds
   */
  public void inheritFrom(long spentAtMost, long requestsKnown, long wantedLast, long nowMillis) {
    spent = spentAtMost;
    requests = requestsKnown;
    inheritedWanted = wantedLast;
    inheritedUntilMillis = nowMillis + INHERITED_MILLIS;
  }

  /**
   * Returns the tokens consumed by completed requests.
   *
   * @return tokens
   */
  public long spent() {
    return spent;
  }

  /**
   * Returns the tokens reserved for requests in progress.
   *
   * @return tokens
   */
  public long reserved() {
    return reserved;
  }

  /**
   * Returns the number of requests that consumed tokens.
   *
   * @return number of completed requests
   */
  public long requests() {
    return requests;
  }
}
