package org.hibiscusreel.core.report;

import org.hibiscusreel.core.ledger.Bill;

/**
 * A bill with the request identifier of its row.
 *
 * @param rowId request identifier in the key of the row; a bill for reused content has {@code ~}
 *     and a prefix of the fingerprint appended
 * @param bill the bill
 */
public record BilledRequest(String rowId, Bill bill) {

  /**
   * Returns the identifier that the caller gave.
   *
   * @return the identifier of the row without an appended fingerprint
   */
  public String requestId() {
    int mark = rowId.lastIndexOf('~');
    boolean appended =
        mark > 0
            && mark < rowId.length() - 1
            && bill.fingerprint().startsWith(rowId.substring(mark + 1));
    return appended ? rowId.substring(0, mark) : rowId;
  }
}
