package org.hibiscusreel.coordination.budget;

import java.util.List;
import org.hibiscusreel.core.budget.HandOverEntry;
import org.hibiscusreel.core.budget.OpenReservationEntry;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.wire.BookEntry;
import org.hibiscusreel.wire.OpenReservation;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleEntry;
import org.hibiscusreel.wire.Stamp;

/** Converts between the records of this package and the messages between daemons. */
final class PeerMessages {

  private PeerMessages() {}

  static ReserveRequest toRequest(ReserveCall call, long waitMillis, Stamp stamp) {
    return ReserveRequest.newBuilder()
        .setStamp(stamp)
        .setBudget(call.budget())
        .setAccount(call.account())
        .setRequestId(call.requestId())
        .setReservationId(call.reservationId())
        .setTokens(call.tokens())
        .setServer(call.server())
        .setWaitMillis(waitMillis)
        .build();
  }

  static ReserveCall toCall(ReserveRequest r) {
    return new ReserveCall(
        r.getBudget(),
        r.getAccount(),
        r.getRequestId(),
        r.getReservationId(),
        r.getTokens(),
        r.getServer());
  }

  static ReserveResponse toResponse(ReservationResult result, Stamp stamp) {
    ReserveResponse.Builder b = ReserveResponse.newBuilder().setStamp(stamp).setUndrawn(-1);
    if (result instanceof ReservationResult.Granted granted) {
      b.setOutcome(ReserveResponse.Outcome.GRANTED).setHolder(granted.reservation().holder());
    } else if (result instanceof ReservationResult.Exhausted exhausted) {
      b.setOutcome(ReserveResponse.Outcome.EXHAUSTED).setUndrawn(exhausted.undrawn());
    } else if (result instanceof ReservationResult.AboveBudget) {
      b.setOutcome(ReserveResponse.Outcome.EXHAUSTED);
    } else if (result instanceof ReservationResult.UnknownBudget) {
      b.setOutcome(ReserveResponse.Outcome.UNKNOWN_BUDGET);
    } else {
      b.setOutcome(ReserveResponse.Outcome.UNAVAILABLE);
    }
    return b.build();
  }

  static ReservationResult toResult(ReserveCall call, ReserveResponse response) {
    return switch (response.getOutcome()) {
      case GRANTED -> call.toGranted(response.getHolder());
      case EXHAUSTED -> new ReservationResult.Exhausted(Math.max(0, response.getUndrawn()));
      case UNKNOWN_BUDGET -> new ReservationResult.UnknownBudget();
      default -> new ReservationResult.Unavailable("the holder has no tokens available");
    };
  }

  static SettleEntry toSettle(Reservation reservation, long tokens, boolean isFinal) {
    return SettleEntry.newBuilder()
        .setReservationId(reservation.id())
        .setBudget(reservation.budget())
        .setHolder(reservation.holder())
        .setTokens(tokens)
        .setFinal(isFinal)
        .build();
  }

  static BookEntry toWire(HandOverEntry entry) {
    BookEntry.Builder b =
        BookEntry.newBuilder()
            .setBudget(entry.budget())
            .setAccount(entry.account())
            .setDrawn(entry.drawn())
            .setSpent(entry.spent())
            .setReturned(entry.returned());
    for (OpenReservationEntry e : entry.open()) {
      b.addOpen(
          OpenReservation.newBuilder()
              .setReservationId(e.id())
              .setTokens(e.tokens())
              .setServer(e.server())
              .setRequestId(e.requestId()));
    }
    return b.build();
  }

  static HandOverEntry fromWire(BookEntry entry) {
    List<OpenReservationEntry> open =
        entry.getOpenList().stream()
            .map(
                o ->
                    new OpenReservationEntry(
                        o.getReservationId(), o.getTokens(), o.getServer(), o.getRequestId()))
            .toList();
    return new HandOverEntry(
        entry.getBudget(),
        entry.getAccount(),
        entry.getDrawn(),
        entry.getSpent(),
        entry.getReturned(),
        open);
  }
}
