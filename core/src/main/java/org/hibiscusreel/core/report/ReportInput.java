package org.hibiscusreel.core.report;

import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.recovery.IncarnationRow;

/**
 * Rows from which a report is computed. The sums of charges must be read before the bills, so that
 * a bill written between the two reads does not appear as a charge without a bill.
 *
 * @param date the day in UTC
 * @param startMillis start of the day in milliseconds since the epoch
 * @param endMillis end of the day, exclusive, in milliseconds since the epoch
 * @param nowMillis wall-clock time at which the rows were read, in milliseconds since the epoch
 * @param budgets budgets by identifier
 * @param bills all bills of all days
 * @param spent all sums of charges
 * @param claims all claims
 * @param days counters of the day
 * @param incarnations incarnations by identifier
 */
public record ReportInput(
    String date,
    long startMillis,
    long endMillis,
    long nowMillis,
    Map<String, BudgetRow> budgets,
    List<BilledRequest> bills,
    List<SpentAmount> spent,
    List<ClaimedRequest> claims,
    List<DayRow> days,
    Map<String, IncarnationRow> incarnations) {

  /** Copies the collections. */
  public ReportInput {
    budgets = Map.copyOf(budgets);
    bills = List.copyOf(bills);
    spent = List.copyOf(spent);
    claims = List.copyOf(claims);
    days = List.copyOf(days);
    incarnations = Map.copyOf(incarnations);
  }

  /**
   * Tells whether a time is on the day.
   *
   * @param atMillis wall-clock time in milliseconds since the epoch
   * @return true if the time is at or after the start and before the end
   */
  public boolean isOnDay(long atMillis) {
    return atMillis >= startMillis && atMillis < endMillis;
  }
}
