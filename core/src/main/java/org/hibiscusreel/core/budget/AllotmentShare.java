package org.hibiscusreel.core.budget;

/**
 * How many tokens of an account one daemon holds ahead. Answers the load in which all daemons lose
 * the store at once and each has to serve its own callers from what it holds: every daemon holds
 * what its own demand needs, and where that is more than the budget has left, all are cut down in
 * proportion to their demand.
 */
public final class AllotmentShare {

  /**
   * Part of the uncommitted tokens that all daemons together may hold ahead. The rest is drawn by
   * requests that are larger than what their daemon holds.
   */
  public static final double HELD_PART = 0.85;

  /** Below this part of its target a daemon draws, so that a write serves several requests. */
  public static final double LOW_PART = 0.8;

  /** Above this multiple of its target a daemon gives back. */
  public static final double HIGH_FACTOR = 1.3;

  /**
   * What is known of an account.
   *
   * @param undrawn tokens that no daemon has drawn, negative if the budget was cut
   * @param uncommitted tokens that are neither consumed nor reserved
   * @param wanted tokens that this daemon would like to hold
   * @param wantedByAll tokens that all daemons would like to hold, this one included
   */
  public record Account(long undrawn, long uncommitted, long wanted, long wantedByAll) {}

  private AllotmentShare() {}

  /**
   * Returns the tokens that this daemon should hold unreserved. A share that does not cover a
   * request of mean size serves nobody and is left in the store.
   *
   * @param account what is known of the account
   * @param meanSize mean size of a request in tokens
   * @return tokens
   */
  public static long target(Account account, double meanSize) {
    if (account.uncommitted() <= 0 || account.wanted() <= 0) {
      return 0;
    }
    double part = (double) account.wanted() / Math.max(account.wanted(), account.wantedByAll());
    long share = (long) (account.uncommitted() * HELD_PART * part);
    return share < meanSize ? 0 : Math.min(account.wanted(), share);
  }

  /**
   * Computes the change of the drawn tokens.
   *
   * @param account what is known of the account
   * @param meanSize mean size of a request in tokens
   * @param free unreserved tokens that this daemon holds
   * @param waiting tokens that waiting requests need
   * @return tokens to draw if positive, to give back if negative, or 0
   */
  public static long change(Account account, double meanSize, long free, long waiting) {
    if (account.undrawn() < 0) {
      return -Math.max(0, free);
    }
    long target = target(account, meanSize);
    long left = free - waiting;
    if (left < 0 || left < target * LOW_PART) {
      long ahead = Math.max(0, target - Math.max(0, left));
      return Math.min(account.undrawn(), Math.max(0, -left) + ahead);
    }
    return left > target * HIGH_FACTOR + meanSize ? target - left : 0;
  }
}
