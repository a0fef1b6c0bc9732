package org.hibiscusreel.core.budget;

/**
 * Computes how many tokens of an account a daemon holds in advance. If all daemons lose the store
 * at the same time, each has to serve its callers from the tokens that it holds. So every daemon
 * holds the tokens that its own demand needs; if these exceed the remaining budget, all shares are
 * reduced in proportion to demand.
 */
public final class AllotmentShare {

  /**
   * Fraction of the uncommitted tokens that all daemons together may hold in advance. The rest is
   * left for requests that need more than their daemon holds.
   */
  public static final double HELD_FRACTION = 0.85;

  /**
   * Fraction of its target below which a daemon draws tokens, so that one write serves several
   * requests.
   */
  public static final double LOW_FRACTION = 0.8;

  /** Multiple of its target above which a daemon returns tokens. */
  public static final double HIGH_FACTOR = 1.3;

  /**
   * Number of daemons for each of which one may draw all spare tokens in advance. Of more daemons,
   * the first ones to draw know little of their demand, and what they hold too much is missing on
   * the others.
   */
  public static final int DAEMONS_PER_REFILL = 6;

  /**
   * State of an account.
   *
   * @param undrawn tokens that no daemon has drawn, negative if the budget was reduced below the
   *     drawn tokens
   * @param uncommitted tokens that are neither consumed nor reserved
   * @param wanted tokens that this daemon wants to hold
   * @param wantedByAll tokens that all daemons want to hold, including this one
   * @param daemons number of daemons that share the account
   */
  public record Account(
      long undrawn, long uncommitted, long wanted, long wantedByAll, int daemons) {}

  private AllotmentShare() {}

  /**
   * Returns the number of unreserved tokens that this daemon should hold. A share that does not
   * cover a request of mean size is useless and stays in the store.
   *
   * @param account state of the account
   * @param meanSize mean size of a request in tokens
   * @return tokens
   */
  public static long target(Account account, double meanSize) {
    if (account.uncommitted() <= 0 || account.wanted() <= 0) {
      return 0;
    }
    double demandFraction =
        (double) account.wanted() / Math.max(account.wanted(), account.wantedByAll());
    long share = (long) (account.uncommitted() * HELD_FRACTION * demandFraction);
    return share < meanSize ? 0 : Math.min(account.wanted(), share);
  }

  /**
   * Computes the change of the drawn tokens.
   *
   * @param account state of the account
   * @param meanSize mean size of a request in tokens
   * @param free unreserved tokens that this daemon holds
   * @param waiting tokens that waiting requests need
   * @return tokens to draw if positive, to return if negative, or 0
   */
  public static long change(Account account, double meanSize, long free, long waiting) {
    if (account.undrawn() < 0) {
      return -Math.max(0, free);
    }
    long target = target(account, meanSize);
    long remaining = free - waiting;
    if (remaining < 0 || remaining < target * LOW_FRACTION) {
      long refill = Math.max(0, target - Math.max(0, remaining));
      long refills = Math.max(1, account.daemons() / DAEMONS_PER_REFILL);
      long needed = Math.max(0, -remaining);
      // Left for requests that need more than their daemon holds.
      long reserve = (long) ((1 - HELD_FRACTION) * Math.max(0, account.uncommitted()));
      long spare = Math.max(0, account.undrawn() - needed - reserve);
      return Math.min(account.undrawn(), needed + Math.min(refill, spare / refills));
    }
    return remaining > target * HIGH_FACTOR + meanSize ? target - remaining : 0;
  }
}
