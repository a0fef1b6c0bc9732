package org.hibiscusreel.core.report;

import org.hibiscusreel.core.ledger.Bill;

/**
 * Bill with the request identifier in the key of its row.
 *
 * @param rowId request identifier in the key of the row; a bill of a request that reused an
 *     identifier has {@code ~} and a prefix of the fingerprint appended
 * @param bill the bill
 */
public record BilledRequest(String rowId, Bill bill) {

  /**
   * Returns the request identifier given by the caller.
   *
   * @return the identifier of the row without an appended fingerprint
   */
  public String requestId() {
    int separator = rowId.lastIndexOf('~');
    boolean hasFingerprint =
        separator > 0
            && separator < rowId.length() - 1
            && bill.fingerprint().startsWith(rowId.substring(separator + 1));
    return hasFingerprint ? rowId.substring(0, separator) : rowId;
  }
}
