package org.hibiscusreel.core.budget;

/**
 * Upper bound on the tokens of an account that one incarnation of a daemon consumes. The
 * incarnation declares it in the platform's store before it spends tokens. If the incarnation dies,
 * its successor computes from the bound how many of the drawn tokens are certainly unspent. While
 * the store is available, a daemon declares a new bound every second or two. An older bound rises
 * with the time of the store, so that a daemon can continue to serve requests during an outage
 * without declaring a new one.
 *
 * @param base bound until it rises, in tokens
 * @param tokensPerMilli rise of the bound
 * @param sinceMillis time of the store in milliseconds from which the bound rises
 */
public record SpendingCeiling(long base, double tokensPerMilli, long sinceMillis) {

  /** Ceiling that allows no tokens. */
  public static final SpendingCeiling NONE = new SpendingCeiling(0, 0, 0);

  /**
   * Returns the bound at a given time.
   *
   * @param storeMillis time of the store in milliseconds
   * @return tokens, {@code Long.MAX_VALUE} if the bound is greater
   */
  public long at(long storeMillis) {
    long rise = (long) (tokensPerMilli * Math.max(0, storeMillis - sinceMillis));
    return base + Math.min(rise, Long.MAX_VALUE - base);
  }
}
