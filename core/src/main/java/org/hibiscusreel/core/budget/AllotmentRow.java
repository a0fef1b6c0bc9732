package org.hibiscusreel.core.budget;

/**
 * Row in the platform's store for the tokens of one budget that one incarnation has drawn.
 *
 * @param drawn total tokens drawn by the incarnation, not negative
 * @param returned total tokens returned, at most {@code drawn}
 * @param closed whether the incarnation can no longer draw or spend tokens
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
