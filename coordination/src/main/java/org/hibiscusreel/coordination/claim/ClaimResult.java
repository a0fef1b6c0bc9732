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
   * @param row the present row
   */
  record Taken(ClaimRow row) implements ClaimResult {}

  /**
   * The claim was certainly not written and will not be.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements ClaimResult {}

  /**
   * It is not known whether the claim was written. The call was not dispatched by this attempt and
   * never will be.
   *
   * @param reason what happened
   */
  record Undetermined(String reason) implements ClaimResult {}
}
