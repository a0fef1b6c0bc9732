package org.hibiscusreel.coordination.budget;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;

/** Reservation that waits for a draw. */
final class WaitingReservation {

  /** Platform operations completed since the reservation began to wait. */
  enum Progress {
    NEW,
    /** The budget row was read. */
    READ,
    /** Other holders were requested to release tokens; the budget row is read again afterwards. */
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
