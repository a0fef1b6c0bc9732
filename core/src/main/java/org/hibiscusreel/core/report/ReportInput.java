package org.hibiscusreel.core.report;

import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.recovery.IncarnationRow;

/**
 * Rows that a report is computed from. Sums of charges are to be read before the bills, so that a
 * charge without a bill is a fault and not a bill that was written between the two reads.
 *
 * @param date the day in UTC
 * @param startMillis start of the day in milliseconds since the epoch
 * @param endMillis end of the day, exclusive, in milliseconds since the epoch
 * @param nowMillis time of the reads in milliseconds since the epoch
 * @param budgets budgets by identifier
 * @param bills all bills, of all days
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
   * @return true from the start to before the end
   */
  public boolean isOnDay(long atMillis) {
    return atMillis >= startMillis && atMillis < endMillis;
  }
}
