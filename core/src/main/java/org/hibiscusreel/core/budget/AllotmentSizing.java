package org.hibiscusreel.core.budget;

/** Sizes of allotments and of the amounts drawn and returned. */
public final class AllotmentSizing {

  /** Room for one request in progress and the next one. */
  private static final long MIN_WORST_CASES = 2;

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
   * there are failure domains, so that each of them finds something left.
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
    long wanted = Math.max(needed, target - available);
    long limit = Math.max(needed, undrawn / (failureDomains + 1));
    return Math.max(0, Math.min(undrawn, Math.min(wanted, limit)));
  }

  /**
   * Tells whether an allotment should be refilled.
   *
   * @param target target of the allotment in tokens
   * @param available unreserved tokens of the allotment
   * @return true below half of the target
   */
  public static boolean isLow(long target, long available) {
    return available < target / 2;
  }

  /**
   * Returns the tokens to return to the platform.
   *
   * @param target target of the allotment in tokens
   * @param available unreserved tokens of the allotment
   * @return what exceeds the target if the allotment holds over twice of it, otherwise 0
   */
  public static long surplus(long target, long available) {
    return available > 2 * target ? available - target : 0;
  }
}
