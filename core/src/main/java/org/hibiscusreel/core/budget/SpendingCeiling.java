package org.hibiscusreel.core.budget;

/**
 * Upper bound on what one run of a daemon consumes of an account, which it declares in the
 * platform's store before it spends. If the run dies, its successor knows from the bound how much
 * is certainly left of what the run had drawn. A daemon that reaches the store declares a new bound
 * every second or two. A bound that is older rises with the time of the store, so that a daemon
 * goes on through an outage without declaring anything.
 *
 * @param base tokens that may be consumed at the moment of the declaration
 * @param tokensPerMilli rise of the bound since the declaration, once it is no longer steady
 * @param sinceMillis time of the store, in milliseconds, not later than the declaration
 */
public record SpendingCeiling(long base, double tokensPerMilli, long sinceMillis) {

  /**
   * Time during which a bound does not rise. A process that is killed is replaced within about
   * three seconds, and until then what its bound rises by is lost.
   */
  public static final long STEADY_MILLIS = 4_000;

  /** Allows nothing. */
  public static final SpendingCeiling NONE = new SpendingCeiling(0, 0, 0);

  /**
   * Returns the bound at a moment.
   *
   * @param storeMillis time of the store in milliseconds
   * @return tokens
   */
  public long at(long storeMillis) {
    long age = storeMillis - sinceMillis;
    return age < STEADY_MILLIS ? base : base + (long) (tokensPerMilli * age);
  }
}
