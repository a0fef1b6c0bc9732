package org.hibiscusreel.core.budget;

/** Sizes of allotments and of the amounts drawn and returned. */
public final class AllotmentSizing {

  /** Room for one request in progress and the next one. */
  private static final long MIN_WORST_CASES = 2;

  /** A refill adds at least this part, one in so many, of the tokens held. */
  private static final long MIN_REFILL_PART = 2;

  private AllotmentSizing() {}

  /**
   * Returns the tokens that an allotment should hold unreserved.
   *
   * @param tokensPerMilli forecast demand in tokens per millisecond
   * @param lean leaning of the budget
   * @param worstCase largest recent reservation in tokens, 0 if the budget is idle
   * @return the target in tokens
   */
  public static long target(double tokensPerMilli, Lean lean, long worstCase) {
    long forecast = (long) Math.ceil(tokensPerMilli * lean.rideOutMillis());
    return Math.max(forecast, MIN_WORST_CASES * worstCase);
  }

  /**
   * Returns the tokens to draw. The tokens that waiting reservations need are drawn if possible;
   * beyond that, the draw takes at most one part of the undrawn amount, split in one part more than
   * there are failure domains, so that each of them finds something left. A refill that adds little
   * is not drawn, since a nearly used budget would cost a write each few seconds.
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
    long wanted = Math.max(needed, filled(target) - available);
    long limit = Math.max(needed, undrawn / (failureDomains + 1));
    long tokens = Math.max(0, Math.min(undrawn, Math.min(wanted, limit)));
    return needed <= 0 && tokens < available / MIN_REFILL_PART ? 0 : tokens;
  }

  /**
   * Tells whether an allotment should be refilled. An outage may begin just before a refill, so an
   * allotment that lasts for less than the tolerated outage is low.
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
   * @return what exceeds one and a half times the target if the allotment holds over twice of it,
   *     otherwise 0
   */
  public static long surplus(long target, long available) {
    return available > 2 * target ? available - filled(target) : 0;
  }

  /** Half a target above the low mark keeps refills as rare as half the tolerated outage. */
  private static long filled(long target) {
    return target + target / 2;
  }
}
