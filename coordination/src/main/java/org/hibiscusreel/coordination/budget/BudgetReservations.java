package org.hibiscusreel.coordination.budget;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;

/** Reserves tokens before a request is dispatched and settles them afterwards. */
public interface BudgetReservations {

  /**
   * Reserves the worst case of a request.
   *
   * @param key the request
   * @param budget budget to charge
   * @param tokens worst case in tokens, positive
   * @param waitMillis longest time to wait for the platform, in milliseconds
   * @return the outcome; never exceptional
   */
  CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis);

  /**
   * Releases the tokens of a reservation that exceed the tokens used. The reservation stays open
   * until it is closed.
   *
   * @param reservation the reservation
   * @param tokens tokens used, from 0 to the number of reserved tokens
   */
  void trim(Reservation reservation, long tokens);

  /**
   * Closes a reservation. Closing again has no effect.
   *
   * @param reservation the reservation
   * @param tokens tokens billed, 0 if the request is not billed by this reservation
   */
  void close(Reservation reservation, long tokens);
}
