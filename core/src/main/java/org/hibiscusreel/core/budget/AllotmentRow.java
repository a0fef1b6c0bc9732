package org.hibiscusreel.core.budget;

/**
 * The platform's row of the tokens of one budget that one incarnation drew.
 *
 * @param drawn tokens ever drawn by the incarnation, not negative
 * @param returned tokens given back, at most {@code drawn}
 * @param closed true once the incarnation can no longer draw or spend from it
 */
public record AllotmentRow(long drawn, long returned, boolean closed) {

  /**
   * Checks the amounts.
   *
   * @throws IllegalArgumentException if an amount is out of range
   */
  public AllotmentRow {
    if (returned < 0 || drawn < returned) {
      throw new IllegalArgumentException(
          "returned must be between 0 and drawn, but drawn=" + drawn + " returned=" + returned);
    }
  }
}
