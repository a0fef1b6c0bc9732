package org.hibiscusreel.coordination.ledger;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.ledger.Bill;

/** Leaves a copy of a bill with another daemon while the platform takes no bills. */
@FunctionalInterface
public interface BillBackup {

  /**
   * Leaves a copy.
   *
   * @param bill the bill
   * @return true once a copy is kept, false if no daemon took one; never exceptional
   */
  CompletableFuture<Boolean> copy(Bill bill);
}
