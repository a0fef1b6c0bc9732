package org.hibiscusreel.core.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.ledger.Bill;

/** Cumulative granted and billed tokens of each budget over time. */
final class BilledAmounts {

  private final Map<String, BudgetRow> budgets;
  private final Map<String, List<Bill>> billsByBudget = new TreeMap<>();
  private final Map<String, long[]> billTimesByBudget = new HashMap<>();
  private final Map<String, long[]> billSumsByBudget = new HashMap<>();

  BilledAmounts(ReportInput input) {
    this.budgets = input.budgets();
    for (BilledRequest request : input.bills()) {
      billsByBudget
          .computeIfAbsent(request.bill().budget(), key -> new ArrayList<>())
          .add(request.bill());
    }
    billsByBudget.forEach(this::index);
  }

  /** Returns the budgets with bills in alphabetical order. */
  List<String> billedBudgets() {
    return List.copyOf(billsByBudget.keySet());
  }

  /** Returns the bills of a budget by time of completion. */
  List<Bill> billsOf(String budget) {
    return billsByBudget.getOrDefault(budget, List.of());
  }

  /** Returns the tokens granted up to a time. */
  long grantedBy(String budget, long atMillis) {
    BudgetRow row = budgets.get(budget);
    if (row == null) {
      return 0;
    }
    return row.topUps().stream()
        .filter(topUp -> topUp.atMillis() <= atMillis)
        .mapToLong(TopUp::tokens)
        .sum();
  }

  /** Returns the tokens billed up to a time. */
  long billedBy(String budget, long atMillis) {
    long[] timesMillis = billTimesByBudget.get(budget);
    if (timesMillis == null) {
      return 0;
    }
    int low = 0;
    int high = timesMillis.length;
    while (low < high) {
      int middle = (low + high) / 2;
      if (timesMillis[middle] <= atMillis) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? 0 : billSumsByBudget.get(budget)[low - 1];
  }

  private void index(String budget, List<Bill> bills) {
    bills.sort(Comparator.comparingLong(Bill::finishedAtMillis));
    long[] timesMillis = new long[bills.size()];
    long[] sum = new long[bills.size()];
    long total = 0;
    for (int i = 0; i < timesMillis.length; i++) {
      total += bills.get(i).tokens();
      timesMillis[i] = bills.get(i).finishedAtMillis();
      sum[i] = total;
    }
    billTimesByBudget.put(budget, timesMillis);
    billSumsByBudget.put(budget, sum);
  }
}
