package org.hibiscusreel.core.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Part of a client account's prepaid tokens that this daemon has drawn and may spend without
 * asking. A change whose outcome is not known yet counts against the daemon: an increase can't be
 * spent, a decrease is gone, and the lowest of the ceilings that may stand in the store holds. Not
 * thread-safe.
 */
public final class AccountAllotment {

  /**
   * Demand that is held ahead. Outages of the platform's store last up to nine seconds on the sites
   * of today; the rest covers demand that rises meanwhile.
   */
  public static final long HOLD_AHEAD_MILLIS = 12_000;

  /**
   * Demand that a ceiling allows beyond what is consumed, besides one request of typical size. An
   * outage begins with the time in which the ceiling does not rise. What a dead daemon's ceiling
   * allows and it did not consume is lost for the day.
   */
  private static final long CEILING_AHEAD_MILLIS = SpendingCeiling.STEADY_MILLIS;

  /**
   * Time for which a fresh run holds what its predecessor wanted, until it knows its own demand.
   */
  private static final long INHERITED_MILLIS = HOLD_AHEAD_MILLIS;

  /** Rise of a ceiling as a multiple of the mean demand, since demand comes in lumps. */
  private static final double CEILING_RATE = 1.5;

  /**
   * Part of the inherited tokens that a ceiling allows at first: a third is the mean demand of the
   * steady time, the rest covers a request of typical size.
   */
  private static final double INHERITED_HEADROOM = 0.5;

  private final List<SpendingCeiling> ceilings = new ArrayList<>(List.of(SpendingCeiling.NONE));
  private RequestDemand demand; // since the first demand, null before
  private long drawn;
  private long pending; // never positive
  private long spent;
  private long reserved;
  private long requests;
  private long inheritedWanted;
  private long inheritedUntil;

  /**
   * Reserves tokens.
   *
   * @param tokens most that a request can consume
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis time of the store in milliseconds, not later than the true one
   * @return false if the allotment does not hold them or the ceiling forbids it
   */
  public boolean tryReserve(long tokens, long nowMillis, long storeMillis) {
    if (tokens > free() || tokens > allowed(storeMillis)) {
      return false;
    }
    reserved += tokens;
    if (demand == null) {
      // An account that was idle for long is not taken for one with little demand.
      demand = new RequestDemand(nowMillis);
    }
    demand.add(tokens, nowMillis);
    return true;
  }

  /**
   * Ends a reservation.
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
   * Returns the tokens that the declared ceilings still allow to reserve.
   *
   * @param storeMillis time of the store in milliseconds, not later than the true one
   * @return tokens, 0 or more
   */
  public long allowed(long storeMillis) {
    long lowest = Long.MAX_VALUE;
    for (SpendingCeiling c : ceilings) {
      lowest = Math.min(lowest, c.at(storeMillis));
    }
    return Math.max(0, lowest - spent - reserved);
  }

  /**
   * Returns the tokens that this daemon would like to hold unreserved.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return tokens
   */
  public long wanted(long nowMillis) {
    long own = demand == null ? 0 : demand.during(HOLD_AHEAD_MILLIS, nowMillis);
    return Math.max(own, inherited(nowMillis));
  }

  private long inherited(long nowMillis) {
    return nowMillis < inheritedUntil ? inheritedWanted : 0;
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
   * Returns a ceiling to declare.
   *
   * @param waiting tokens that waiting requests need
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis time of the store in milliseconds, not later than the true one
   * @return the ceiling
   */
  public SpendingCeiling nextCeiling(long waiting, long nowMillis, long storeMillis) {
    double own = demand == null ? 0 : demand.tokensPerMilli(nowMillis);
    double rate = Math.max(own, (double) inherited(nowMillis) / HOLD_AHEAD_MILLIS);
    long base = spent + reserved + waiting + headroom(nowMillis);
    return new SpendingCeiling(base, rate * CEILING_RATE, storeMillis);
  }

  private long headroom(long nowMillis) {
    long first = (long) (inherited(nowMillis) * INHERITED_HEADROOM);
    if (demand == null) {
      return first;
    }
    double ahead = demand.tokensPerMilli(nowMillis) * CEILING_AHEAD_MILLIS;
    return Math.max(first, (long) (demand.typicalSize() + ahead));
  }

  /**
   * Tells whether a new ceiling should be declared, either because the present one leaves too
   * little room or because it would leave too much unclaimed if this daemon died.
   *
   * @param waiting tokens that waiting requests need
   * @param maxAgeMillis age of a ceiling that is replaced while there is demand, in milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @param storeMillis time of the store in milliseconds, not later than the true one
   * @return true to declare one
   */
  public boolean needsCeiling(long waiting, long maxAgeMillis, long nowMillis, long storeMillis) {
    long headroom = headroom(nowMillis);
    long usable = Math.min(allowed(storeMillis), Math.max(0, free()));
    boolean isLow = waiting > allowed(storeMillis) || usable < Math.min(free(), headroom / 2);
    boolean isOld = storeMillis - ceilings.get(0).sinceMillis() > maxAgeMillis;
    return isLow || usable > 2 * headroom || (isOld && usable > 0);
  }

  /**
   * Begins a change. Begun again before the outcome of an earlier change is known, the least that
   * may be left counts.
   *
   * @param change tokens to draw if positive, to give back if negative, or 0
   * @param ceiling ceiling that is declared with the change
   */
  public void begin(long change, SpendingCeiling ceiling) {
    pending = Math.min(pending, change);
    ceilings.add(ceiling);
  }

  /**
   * Ends all changes with what the store holds now.
   *
   * @param drawnInStore tokens drawn by this daemon
   * @param ceilingInStore ceiling that this daemon declared last
   */
  public void resolve(long drawnInStore, SpendingCeiling ceilingInStore) {
    drawn = drawnInStore;
    pending = 0;
    ceilings.clear();
    ceilings.add(ceilingInStore);
  }

  /**
   * Takes over the account of a run of this daemon that is dead. Its tokens can be used once they
   * are confirmed by {@link #resolve}.
   *
   * @param spentAtMost tokens that it consumed at most
   * @param requestsKnown requests that it had billed
   * @param wantedLast tokens that it wanted to hold
   * @param nowMillis monotonic time in milliseconds
   */
  public void inherit(long spentAtMost, long requestsKnown, long wantedLast, long nowMillis) {
    spent = spentAtMost;
    requests = requestsKnown;
    inheritedWanted = wantedLast;
    inheritedUntil = nowMillis + INHERITED_MILLIS;
  }

  /**
   * Returns the tokens consumed.
   *
   * @return tokens of ended requests
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
   * @return number of ended requests
   */
  public long requests() {
    return requests;
  }
}
