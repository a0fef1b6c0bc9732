package org.hibiscusreel.coordination.budget;

import org.hibiscusreel.core.budget.OpenReservationEntry;

/**
 * Open reservation that this daemon holds.
 *
 * @param account client account of the request, empty if not known
 * @param budget identifier of the budget that is charged
 * @param entry the reservation
 */
public record HeldReservation(String account, String budget, OpenReservationEntry entry) {}
