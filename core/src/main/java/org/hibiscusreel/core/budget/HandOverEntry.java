package org.hibiscusreel.core.budget;

import java.util.List;

/**
 * Entry for one budget in the ledger that a holder hands over.
 *
 * @param budget identifier of the budget
 * @param account client account that owns the budget
 * @param drawn total tokens drawn
 * @param spent tokens of closed reservations
 * @param returned tokens returned to the platform, including those whose return is not confirmed
 * @param open open reservations
 */
public record HandOverEntry(
    String budget,
    String account,
    long drawn,
    long spent,
    long returned,
    List<OpenReservationEntry> open) {

  /** Copies the list. */
  public HandOverEntry {
    open = List.copyOf(open);
  }
}
