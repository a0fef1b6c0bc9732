package org.hibiscusreel.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetLedger;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.HolderLedger;
import org.hibiscusreel.core.budget.Lean;

/** One allotment with what is known of its rows and the work that waits for the platform. */
final class HeldAllotment {

  static final long UNKNOWN_VERSION = -1;

  final HolderLedger holderLedger;
  final BudgetLedger ledger;
  final boolean isAdopted;
  final Deque<WaitingReservation> waiting = new ArrayDeque<>();
  final List<CompletableFuture<Long>> releases = new ArrayList<>();

  /** Last known budget row, null if absent or not read yet. */
  BudgetRow budgetRow;

  long budgetVersion = UNKNOWN_VERSION;
  long allotmentVersion = UNKNOWN_VERSION;
  long readAtMillis;
  long nextReleaseAtMillis;
  long nextRefillAtMillis;
  boolean isBusy;
  boolean isWriting;
  boolean mustRead = true;
  boolean wantsRefill;
  boolean wantsClose;
  boolean isClosed;
  long wantsReturn;

  /** True while an earlier write of the present version may still take effect. */
  boolean isInDoubt;

  int failures;
  int conflicts;

  HeldAllotment(HolderLedger holderLedger, BudgetLedger ledger, boolean isAdopted) {
    this.holderLedger = holderLedger;
    this.ledger = ledger;
    this.isAdopted = isAdopted;
  }

  String budgetKey() {
    return TableKeys.budget(ledger.budget());
  }

  String allotmentKey() {
    return TableKeys.allotment(holderLedger.holder(), ledger.budget());
  }

  boolean hasWork() {
    return !waiting.isEmpty() || wantsRefill || hasReturn();
  }

  boolean hasReturn() {
    boolean closes = wantsClose && !isClosed && ledger.open().isEmpty();
    return wantsReturn > 0 || ledger.withheld() > 0 || closes;
  }

  HolderLedger.Grant grant(ReserveCall call, long nowMillis) {
    return holderLedger.grant(ledger.budget(), call.toEntry(), nowMillis);
  }

  /** Returns true if nothing of the allotment is left and no write may still take effect. */
  boolean isForgettable() {
    return !isBusy
        && !isInDoubt
        && !hasWork()
        && ledger.open().isEmpty()
        && ledger.withheld() == 0
        && ledger.available() == 0;
  }

  Lean lean() {
    return budgetRow == null ? Lean.BALANCED : budgetRow.lean();
  }

  long undrawn() {
    return budgetRow == null ? 0 : budgetRow.undrawn();
  }

  void setBudgetRow(long version, BudgetRow row) {
    budgetVersion = version;
    budgetRow = row;
    if (row != null) {
      ledger.setAccount(row.account());
    }
  }

  /** Takes over the present allotment row; a null row is absent. */
  void observeAllotment(long version, AllotmentRow row) {
    if (version == allotmentVersion) {
      return;
    }
    if (row != null) {
      adopt(row);
    }
    allotmentVersion = version;
  }

  private void adopt(AllotmentRow row) {
    if (allotmentVersion != UNKNOWN_VERSION) {
      ledger.synchronize(row);
    } else if (isAdopted) {
      ledger.synchronizeAfterHandOver(row);
    } else {
      ledger.synchronizeForgotten(row);
    }
    isInDoubt = ledger.withheld() > 0;
    isClosed = row.closed();
  }

  void completeReleases(long tokens) {
    List<CompletableFuture<Long>> done = List.copyOf(releases);
    releases.clear();
    done.forEach(f -> f.complete(tokens));
  }
}
