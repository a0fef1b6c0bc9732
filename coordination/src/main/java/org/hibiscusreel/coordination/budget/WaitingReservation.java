package org.hibiscusreel.coordination.budget;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;

/** A reservation that waits for a draw. */
final class WaitingReservation {

  /** How far the platform was asked since the reservation began to wait. */
  enum Progress {
    NEW,
    /** The budget row was read. */
    READ,
    /** Other holders were asked to release tokens, and the budget row was read again. */
    RELEASED
  }

  final ReserveCall call;
  final CompletableFuture<ReservationResult> result = new CompletableFuture<>();
  Cancellable timer = () -> {};
  Progress progress = Progress.NEW;

  WaitingReservation(ReserveCall call) {
    this.call = call;
  }

  void complete(ReservationResult outcome) {
    timer.cancel();
    result.complete(outcome);
  }
}
