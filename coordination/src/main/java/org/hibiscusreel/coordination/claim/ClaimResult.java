package org.hibiscusreel.coordination.claim;

import org.hibiscusreel.core.claim.ClaimRow;

/** Outcome of an attempt to claim a call. */
public sealed interface ClaimResult {

  /**
   * This attempt holds the claim and may dispatch the call once.
   *
   * @param claim the claim
   */
  record Held(Claim claim) implements ClaimResult {}

  /**
   * Another attempt holds or held the claim.
   *
   * @param row the current row
   */
  record Taken(ClaimRow row) implements ClaimResult {}

  /**
   * The claim was not written and no pending write can still take effect.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements ClaimResult {}

  /**
   * It is not known whether the claim was written. This attempt has not dispatched the call and
   * never will.
   *
   * @param reason what happened
   */
  record Undetermined(String reason) implements ClaimResult {}
}
