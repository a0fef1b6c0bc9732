package org.hibiscusreel.core.budget;

import java.util.List;

/**
 * One budget of a holder that hands over its ledger.
 *
 * @param budget identifier of the budget
 * @param account client account that owns the budget
 * @param drawn tokens ever drawn
 * @param spent tokens of closed reservations
 * @param returned tokens returned to the platform, with those whose return is in doubt
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
