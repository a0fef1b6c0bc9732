package org.hibiscusreel.coordination.ledger;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;

/** Records bills and closes the reservations that cover them. */
public interface Billing {

  /**
   * Returns whether the buffer has capacity for the bills of the requests in progress and one more.
   *
   * @return false when new requests must be refused
   */
  boolean hasCapacity();

  /**
   * Acquires a slot in the buffer for the bill of a request that is about to be dispatched.
   *
   * @return false when the request must be refused
   */
  boolean tryAcquireSlot();

  /** Releases the slot of a request that will not be billed. */
  void releaseSlot();

  /**
   * Records the bill of a request that acquired a slot. The reservation is trimmed immediately and
   * closed once the bill is in the platform: with the tokens of the bill, or with 0 if the request
   * had been billed before.
   *
   * @param bill the bill
   * @param reservation reservation that covers it
   */
  void record(Bill bill, Reservation reservation);

  /**
   * Records a bill like {@link #record} and flushes it after a short delay. A call to a plain
   * service leaves no usage record at its upstream, so its response is withheld until its bill is
   * in the platform.
   *
   * @param bill the bill
   * @param reservation reservation that covers it
   * @return completes when the bill is in the platform, or after an attempt to copy it to other
   *     daemons if the platform does not accept bills
   */
  CompletableFuture<Void> recordDurably(Bill bill, Reservation reservation);
}
