package org.hibiscusreel.coordination.budget;

import org.hibiscusreel.core.budget.OpenReservationEntry;
import org.hibiscusreel.core.budget.Reservation;

/** Request of a server to a holder for a reservation. */
record ReserveCall(
    String budget,
    String account,
    String requestId,
    String reservationId,
    long tokens,
    String server) {

  OpenReservationEntry toEntry() {
    return new OpenReservationEntry(reservationId, tokens, server, requestId);
  }

  ReservationResult.Granted toGranted(String holder) {
    return new ReservationResult.Granted(new Reservation(reservationId, budget, holder, tokens));
  }
}
