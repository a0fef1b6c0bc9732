package org.hibiscusreel.ctl.budget;

import org.hibiscusreel.core.budget.BudgetRow;

/** Outcome of reading or changing a budget. */
public sealed interface BudgetResult {

  /**
   * The budget is in the wanted state.
   *
   * @param row the row
   * @param changed whether this call changed it; false if it was so already
   */
  record Done(BudgetRow row, boolean changed) implements BudgetResult {}

  /**
   * The change contradicts the row; nothing was changed.
   *
   * @param reason why
   */
  record Refused(String reason) implements BudgetResult {}

  /**
   * The platform could not be reached; nothing was changed.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements BudgetResult {}

  /**
   * The answers of the platform were lost; the change may have taken effect. It is safe to repeat
   * it with the same identifier.
   *
   * @param reason what happened
   */
  record Unknown(String reason) implements BudgetResult {}
}
