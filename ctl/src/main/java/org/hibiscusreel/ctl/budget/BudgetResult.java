package org.hibiscusreel.ctl.budget;

import org.hibiscusreel.core.budget.BudgetRow;

/** Result of reading or changing a budget. */
public sealed interface BudgetResult {

  /**
   * The budget is in the requested state.
   *
   * @param row the row of the budget
   * @param changed whether this call changed the row; false if it already had the requested state
   */
  record Success(BudgetRow row, boolean changed) implements BudgetResult {}

  /**
   * The change conflicts with the stored row; nothing was changed.
   *
   * @param reason reason for the refusal
   */
  record Refused(String reason) implements BudgetResult {}

  /**
   * The platform could not be reached; nothing was changed.
   *
   * @param reason description of the failure
   */
  record Unavailable(String reason) implements BudgetResult {}

  /**
   * Responses of the platform were lost; the change may have taken effect. Repeating it with the
   * same identifier is safe.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements BudgetResult {}
}
