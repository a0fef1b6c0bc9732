package org.hibiscusreel.core.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bills that go to the platform in one transaction.
 *
 * @param bills bills with distinct keys
 * @param spent tokens that the bills add to each sum
 */
public record BillBatch(List<PendingBill> bills, Map<SpentKey, Long> spent) {

  /** Copies the parts. */
  public BillBatch {
    bills = List.copyOf(bills);
    spent = Map.copyOf(spent);
  }

  /**
   * Selects the first bills that fit into one transaction. A second bill under the same key waits
   * for a later batch, where it meets the first one in the platform.
   *
   * @param pending bills that wait, oldest first
   * @param maxRows largest number of rows, those of the sums included; at least 2
   * @return the batch; empty if nothing waits
   */
  public static BillBatch select(Iterable<PendingBill> pending, int maxRows) {
    if (maxRows < 2) {
      throw new IllegalArgumentException("maxRows must be at least 2, but is " + maxRows);
    }
    List<PendingBill> bills = new ArrayList<>();
    Set<List<String>> keys = new HashSet<>();
    Map<SpentKey, Long> spent = new LinkedHashMap<>();
    for (PendingBill p : pending) {
      SpentKey sum = SpentKey.of(p.bill());
      int rows = bills.size() + 1 + spent.size() + (spent.containsKey(sum) ? 0 : 1);
      if (rows > maxRows) {
        break;
      }
      if (keys.add(List.of(p.bill().account(), p.billedId()))) {
        bills.add(p);
        spent.merge(sum, p.bill().tokens(), Long::sum);
      }
    }
    return new BillBatch(bills, spent);
  }
}
