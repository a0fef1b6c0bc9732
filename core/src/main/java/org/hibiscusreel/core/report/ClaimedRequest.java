package org.hibiscusreel.core.report;

import org.hibiscusreel.core.claim.ClaimRow;

/**
 * Claim with its key.
 *
 * @param account client account
 * @param requestId request identifier
 * @param row the claim
 */
public record ClaimedRequest(String account, String requestId, ClaimRow row) {}
