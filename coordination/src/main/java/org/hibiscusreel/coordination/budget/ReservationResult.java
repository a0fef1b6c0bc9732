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
   * The platform confirmed in this attempt that too little is undrawn.
   *
   * @param undrawn tokens that no allotment holds
   */
  record Exhausted(long undrawn) implements ReservationResult {}

  /**
   * The platform can't be asked and the reachable allotments are used up.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements ReservationResult {}

  /** The budget does not exist or belongs to another client account. */
  record UnknownBudget() implements ReservationResult {}

  /**
   * The worst case is above all that was ever granted.
   *
   * @param granted tokens ever granted
   */
  record AboveBudget(long granted) implements ReservationResult {}
}
