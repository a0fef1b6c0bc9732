package org.hibiscusreel.core.budget;

/** Computes the target size of allotments and the amounts to draw and return. */
public final class AllotmentSizing {

  /** Minimum target in worst-case requests: one in progress and the next one. */
  private static final long MIN_WORST_CASES = 2;

  /** A refill adds at least the available tokens divided by this number. */
  private static final long MIN_REFILL_DIVISOR = 2;

  private AllotmentSizing() {}

  /**
   * Returns the number of unreserved tokens that an allotment should hold.
   *
   * @param tokensPerMilli forecast demand in tokens per millisecond
   * @param lean sizing policy of the budget
   * @param worstCase largest recent reservation in tokens, 0 if the budget is idle
   * @return the target in tokens
   */
  public static long target(double tokensPerMilli, AllotmentPolicy lean, long worstCase) {
    long forecast = (long) Math.ceil(tokensPerMilli * lean.toleratedOutageMillis());
    return Math.max(forecast, MIN_WORST_CASES * worstCase);
  }

  /**
   * Returns the tokens to draw. Tokens needed by waiting reservations are drawn if possible. Beyond
   * that, a draw takes at most {@code undrawn / (failureDomains + 1)}, so that every failure domain
   * can draw some. Small refills are skipped, since a nearly exhausted budget would otherwise cause
   * a write every few seconds.
   *
   * @param target target of the allotment in tokens
   * @param available unreserved tokens of the allotment
   * @param needed tokens missing for waiting reservations
   * @param undrawn tokens that no allotment holds
   * @param failureDomains number of failure domains that draw on the budget, at least 1
   * @return tokens to draw, 0 to {@code undrawn}
   */
  public static long draw(
      long target, long available, long needed, long undrawn, int failureDomains) {
    long wanted = Math.max(needed, refillLevel(target) - available);
    long limit = Math.max(needed, undrawn / (failureDomains + 1));
    long tokens = Math.max(0, Math.min(undrawn, Math.min(wanted, limit)));
    return needed <= 0 && tokens < available / MIN_REFILL_DIVISOR ? 0 : tokens;
  }

  /**
   * Tells whether an allotment should be refilled. Since an outage may begin just before a refill,
   * an allotment counts as low as soon as it would not last for the tolerated outage.
   *
   * @param target target of the allotment in tokens
   * @param available unreserved tokens of the allotment
   * @return true below the target
   */
  public static boolean isLow(long target, long available) {
    return available < target;
  }

  /**
   * Returns the tokens to return to the platform.
   *
   * @param target target of the allotment in tokens
   * @param available unreserved tokens of the allotment
   * @return the excess over 1.5 times the target if more than twice the target is available,
   *     otherwise 0
   */
  public static long surplus(long target, long available) {
    return available > 2 * target ? available - refillLevel(target) : 0;
  }

  /**
   * Returns the level after a refill. Half a target above the low mark spaces refills by half the
   * tolerated outage.
   */
  private static long refillLevel(long target) {
    return target + target / 2;
  }
}
