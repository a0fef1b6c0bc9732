package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.ledger.Bill;

/**
 * A bill as stored in the platform's table.
 *
 * @param account client account taken from the row key
 * @param requestId request identifier taken from the row key
 * @param bill the stored bill
 */
public record BilledRow(String account, String requestId, Bill bill) {}
