package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.ledger.Bill;

/**
 * A bill row of the platform.
 *
 * @param account client account in the key of the row
 * @param requestId request identifier in the key of the row
 * @param bill the bill
 */
public record BilledRow(String account, String requestId, Bill bill) {}
