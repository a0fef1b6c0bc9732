package org.hibiscusreel.core.budget;

import java.util.List;
import java.util.Objects;

/**
 * The platform's row of a budget. {@code drawn <= granted} holds in every version of the row.
 *
 * @param account client account that owns the budget
 * @param granted tokens ever granted, the sum of all top-ups
 * @param drawn tokens ever drawn into allotments, less those returned
 * @param lean how allotments of this budget are sized
 * @param topUps all top-ups, oldest first
 */
public record BudgetRow(String account, long granted, long drawn, Lean lean, List<TopUp> topUps) {

  /**
   * Checks the parts and copies the list.
   *
   * @throws NullPointerException if a part is null
   * @throws IllegalArgumentException if an amount is negative or {@code drawn > granted}
   */
  public BudgetRow {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(lean, "lean");
    topUps = List.copyOf(topUps);
    if (drawn < 0 || granted < drawn) {
      throw new IllegalArgumentException(
          "drawn must be between 0 and granted, but drawn=" + drawn + " granted=" + granted);
    }
  }

  /**
   * Returns the tokens that no allotment holds.
   *
   * @return granted less drawn, not negative
   */
  public long undrawn() {
    return granted - drawn;
  }

  /**
   * Returns the row after tokens were drawn or returned.
   *
   * @param tokens tokens to draw; negative to return
   * @return the changed row
   * @throws IllegalArgumentException if {@code drawn} would leave 0 to granted
   */
  public BudgetRow withDrawn(long tokens) {
    return new BudgetRow(account, granted, drawn + tokens, lean, topUps);
  }
}
