package org.hibiscusreel.core.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bills to write to the platform's store in one transaction.
 *
 * @param bills bills with distinct keys
 * @param spent tokens that the bills add to each {@link SpentRow}
 */
public record BillBatch(List<PendingBill> bills, Map<SpentKey, Long> spent) {

  /** Copies the collections. */
  public BillBatch {
    bills = List.copyOf(bills);
    spent = Map.copyOf(spent);
  }

  /**
   * Selects the first bills that fit into one transaction. A second bill under the same key is left
   * for a later batch, so that it is compared with the first one in the platform's store.
   *
   * @param pending pending bills, oldest first
   * @param maxRows largest number of rows including those of the sums, at least 2
   * @return the batch; empty if there are no pending bills
   */
  public static BillBatch select(Iterable<PendingBill> pending, int maxRows) {
    if (maxRows < 2) {
      throw new IllegalArgumentException("maxRows must be at least 2, but is " + maxRows);
    }
    List<PendingBill> bills = new ArrayList<>();
    Set<List<String>> keys = new HashSet<>();
    Map<SpentKey, Long> spent = new LinkedHashMap<>();
    for (PendingBill p : pending) {
      SpentKey spentKey = SpentKey.of(p.bill());
      int rows = bills.size() + 1 + spent.size() + (spent.containsKey(spentKey) ? 0 : 1);
      if (rows > maxRows) {
        break;
      }
      if (keys.add(List.of(p.bill().account(), p.billedId()))) {
        bills.add(p);
        spent.merge(spentKey, p.bill().tokens(), Long::sum);
      }
    }
    return new BillBatch(bills, spent);
  }
}
