package org.hibiscusreel.core.budget;

/**
 * Part of a client account's prepaid tokens that this daemon has drawn and may spend without
 * asking. A change whose outcome is not known yet counts against the daemon: an increase can't be
 * spent, and a decrease is gone. Not thread-safe.
 */
public final class AccountAllotment {

  /**
   * Demand that is held ahead. Outages of the platform's store last up to nine seconds on the sites
   * of today, and demand comes in lumps.
   */
  public static final long HOLD_AHEAD_MILLIS = 12_000;

  /** Largest recent requests that are held ahead at least. */
  public static final int HOLD_REQUESTS = 2;

  /**
   * All daemons together hold at most one in this many of the undrawn tokens ahead, so that a
   * budget that nears its end is not scattered over daemons that don't need it.
   */
  public static final int SCATTER_DIVISOR = 2;

  /** The largest request is forgotten by one part in so many with each smaller one. */
  private static final int LARGEST_DECAY = 16;

  private DemandForecast forecast; // since the first demand, null before
  private long largest;
  private long drawn;
  private long pending; // never positive
  private long spent;
  private long reserved;
  private long requests;

  /**
   * Reserves tokens.
   *
   * @param tokens most that a request can consume
   * @param nowMillis monotonic time in milliseconds
   * @return false if the allotment does not hold them
   */
  public boolean tryReserve(long tokens, long nowMillis) {
    if (tokens > free()) {
      return false;
    }
    reserved += tokens;
    if (forecast == null) {
      // An account that was idle for long is not taken for one with little demand.
      forecast = new DemandForecast(nowMillis);
    }
    largest = Math.max(tokens, largest - largest / LARGEST_DECAY);
    forecast.add(tokens, nowMillis);
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
   * Returns the tokens that can be reserved.
   *
   * @return tokens, negative after a change that took more than was free
   */
  public long free() {
    return drawn + pending - spent - reserved;
  }

  /**
   * Computes the change of the drawn tokens that serves the waiting requests and keeps the right
   * amount ahead.
   *
   * @param undrawn tokens of the budget that no daemon has drawn; negative if the budget was cut
   * @param waiting tokens that waiting requests need
   * @param daemons number of daemons that share the budget
   * @param nowMillis monotonic time in milliseconds
   * @return tokens to draw if positive, to give back if negative, or 0
   */
  public long wantedChange(long undrawn, long waiting, int daemons, long nowMillis) {
    if (undrawn < 0) {
      return -Math.max(0, free());
    }
    int holders = SCATTER_DIVISOR * Math.max(1, daemons);
    double rate = forecast == null ? 0 : forecast.tokensPerMilli(nowMillis);
    long ahead = Math.max(HOLD_REQUESTS * largest, (long) (rate * HOLD_AHEAD_MILLIS));
    long target = Math.min(ahead, undrawn / holders);
    long needed = waiting - free();
    if (needed > 0 || AllotmentSizing.isLow(target, free())) {
      return AllotmentSizing.draw(target, free(), needed, undrawn, holders);
    }
    return -AllotmentSizing.surplus(target, free() - waiting);
  }

  /**
   * Begins a change of the drawn tokens. Begun again before the outcome of an earlier change is
   * known, the least that may be left counts.
   *
   * @param change tokens to draw if positive, to give back if negative
   */
  public void begin(long change) {
    pending = Math.min(pending, change);
  }

  /**
   * Ends a change.
   *
   * @param drawnInStore tokens drawn by this daemon as the store has them now
   */
  public void resolve(long drawnInStore) {
    drawn = drawnInStore;
    pending = 0;
  }

  /**
   * Returns the tokens drawn by this daemon.
   *
   * @return tokens as last confirmed
   */
  public long drawn() {
    return drawn;
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
