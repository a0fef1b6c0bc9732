package org.hibiscusreel.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetLedger;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.HolderLedger;

/**
 * State of one allotment: the last known versions of its rows and the pending platform operations.
 */
final class HeldAllotment {

  static final long UNKNOWN_VERSION = -1;

  final HolderLedger holderLedger;
  final BudgetLedger ledger;
  final boolean isAdopted;
  final Deque<WaitingReservation> waiting = new ArrayDeque<>();
  final List<CompletableFuture<Long>> pendingReleases = new ArrayList<>();

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
  boolean isRefillRequested;
  boolean isCloseRequested;
  boolean isClosed;
  long tokensToReturn;

  /** True while an earlier write based on the current version may still take effect. */
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
    return !waiting.isEmpty() || isRefillRequested || hasReturn();
  }

  boolean hasReturn() {
    boolean closes = isCloseRequested && !isClosed && ledger.open().isEmpty();
    return tokensToReturn > 0 || ledger.withheld() > 0 || closes;
  }

  HolderLedger.GrantResult grant(ReserveCall call, long nowMillis) {
    return holderLedger.grant(ledger.budget(), call.toEntry(), nowMillis);
  }

  /**
   * Returns true if the allotment has no tokens, reservations or pending work, and no earlier write
   * can still take effect.
   */
  boolean isRemovable() {
    return !isBusy
        && !isInDoubt
        && !hasWork()
        && ledger.open().isEmpty()
        && ledger.withheld() == 0
        && ledger.available() == 0;
  }

  AllotmentPolicy lean() {
    return budgetRow == null ? AllotmentPolicy.BALANCED : budgetRow.lean();
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

  /** Applies the current allotment row; null if the row is absent. */
  void setAllotmentRow(long version, AllotmentRow row) {
    if (version == allotmentVersion) {
      return;
    }
    if (row != null) {
      applyRow(row);
    }
    allotmentVersion = version;
  }

  private void applyRow(AllotmentRow row) {
    if (allotmentVersion != UNKNOWN_VERSION) {
      ledger.synchronize(row);
    } else if (isAdopted) {
      ledger.synchronizeAfterHandOver(row);
    } else {
      ledger.synchronizeAfterRemoval(row);
    }
    isInDoubt = ledger.withheld() > 0;
    isClosed = row.closed();
  }

  void completeReleases(long tokens) {
    List<CompletableFuture<Long>> done = List.copyOf(pendingReleases);
    pendingReleases.clear();
    done.forEach(f -> f.complete(tokens));
  }
}
