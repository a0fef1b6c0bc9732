package org.hibiscusreel.coordination.budget;

import org.hibiscusreel.core.budget.Reservation;

/** Outcome of an attempt to reserve tokens. */
public sealed interface ReservationResult {

  /**
   * Tokens were reserved.
   *
   * @param reservation the reservation
   */
  record Granted(Reservation reservation) implements ReservationResult {}

  /**
   * The platform confirmed during this attempt that the undrawn tokens do not suffice.
   *
   * @param undrawn tokens that no allotment holds
   */
  record Exhausted(long undrawn) implements ReservationResult {}

  /**
   * The platform can't be reached and the reachable allotments are exhausted.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements ReservationResult {}

  /** The budget does not exist or belongs to another client account. */
  record UnknownBudget() implements ReservationResult {}

  /**
   * The worst case of the request exceeds all tokens ever granted to the budget.
   *
   * @param granted tokens ever granted
   */
  record AboveBudget(long granted) implements ReservationResult {}
}
