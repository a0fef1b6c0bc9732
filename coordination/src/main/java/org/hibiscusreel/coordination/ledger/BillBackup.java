package org.hibiscusreel.coordination.ledger;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.ledger.Bill;

/** Stores a copy of a bill at other daemons while the platform does not accept bills. */
@FunctionalInterface
public interface BillBackup {

  /**
   * Stores a copy of a bill.
   *
   * @param bill the bill
   * @return true once a daemon has stored a copy, false if none did; never exceptional
   */
  CompletableFuture<Boolean> copy(Bill bill);
}
