package org.hibiscusreel.core.ledger;

/**
 * Key of a {@link SpentRow}.
 *
 * @param holder incarnation whose allotment is charged
 * @param budget budget that is charged
 * @param server incarnation that served the requests
 */
public record SpentKey(String holder, String budget, String server) {

  /**
   * Returns the key of the sum that contains a bill.
   *
   * @param bill the bill
   * @return the key
   */
  public static SpentKey of(Bill bill) {
    return new SpentKey(bill.holder(), bill.budget(), bill.server());
  }
}
