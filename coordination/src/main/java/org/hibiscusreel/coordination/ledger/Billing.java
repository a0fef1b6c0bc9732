package org.hibiscusreel.coordination.ledger;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;

/** Records bills and closes the reservations that cover them. */
public interface Billing {

  /**
   * Tells whether the buffer can take the bills of the requests in progress and one more.
   *
   * @return false when new requests must be refused
   */
  boolean hasRoom();

  /**
   * Takes room in the buffer for the bill of a request that is about to be dispatched.
   *
   * @return false when the request must be refused
   */
  boolean tryAcquire();

  /** Gives back room of a request that will not be billed. */
  void release();

  /**
   * Records the bill of a request that took room. The reservation is trimmed at once and closed
   * when the bill is in the platform: with its tokens, or with 0 if the request was billed before.
   *
   * @param bill the bill
   * @param reservation reservation that covers it
   */
  void record(Bill bill, Reservation reservation);

  /**
   * Records a bill like {@link #record} and flushes it soon. A call to a plain service leaves no
   * usage record at its upstream, so its answer is held back until its bill is in the platform.
   *
   * @param bill the bill
   * @param reservation reservation that covers it
   * @return completes when the bill is in the platform, or when the platform takes no bills now
   */
  CompletableFuture<Void> recordDurably(Bill bill, Reservation reservation);
}
