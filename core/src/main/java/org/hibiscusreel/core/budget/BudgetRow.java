package org.hibiscusreel.core.budget;

import java.util.List;
import java.util.Objects;

/**
 * Row of a budget in the platform's store. {@code drawn <= granted} holds in every version of the
 * row.
 *
 * @param account client account that owns the budget
 * @param granted total tokens granted, the sum of all top-ups
 * @param drawn total tokens drawn into allotments, less those returned
 * @param lean sizing policy for allotments of this budget
 * @param topUps all top-ups, oldest first
 */
public record BudgetRow(
    String account, long granted, long drawn, AllotmentPolicy lean, List<TopUp> topUps) {

  /**
   * Validates the components and copies the list.
   *
   * @throws NullPointerException if a component is null
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
   * @return tokens, not negative
   */
  public long undrawn() {
    return granted - drawn;
  }

  /**
   * Returns the row after tokens were drawn or returned.
   *
   * @param tokens tokens to draw; negative to return
   * @return the changed row
   * @throws IllegalArgumentException if {@code drawn} would be out of the range from 0 to {@code
   *     granted}
   */
  public BudgetRow withDrawn(long tokens) {
    return new BudgetRow(account, granted, drawn + tokens, lean, topUps);
  }
}
