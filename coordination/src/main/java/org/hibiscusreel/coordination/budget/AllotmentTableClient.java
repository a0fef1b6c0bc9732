package org.hibiscusreel.coordination.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.platform.WriteBatcher;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.AllotmentSizing;
import org.hibiscusreel.core.budget.BudgetLedger;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.HolderLedger;

/**
 * Draws tokens for allotments from the platform and returns them. At most one read or write is in
 * progress for each allotment. All writes of an allotment are conditional on the version of its
 * row, so a write whose response was lost can no longer take effect once a later write has taken
 * effect.
 */
final class AllotmentTableClient {

  /**
   * Requests the return of tokens from other holders; completes when all have responded or timed
   * out.
   */
  interface ReleaseRequests {
    CompletableFuture<Void> request(String budget, long tokens);
  }

  private static final long BATCH_INTERVAL_MILLIS = 20;
  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long MAX_RETRY_MILLIS = 10_000;

  /** Short, because a conflict means that another holder made progress. */
  private static final long FIRST_CONFLICT_RETRY_MILLIS = 10;

  private static final long MAX_CONFLICT_RETRY_MILLIS = 200;

  /** Limits the rate of release requests to other holders while a budget is exhausted. */
  private static final long RELEASE_INTERVAL_MILLIS = 250;

  private static final long REFILL_INTERVAL_MILLIS = 1_000;
  private static final int FAILURES_UNTIL_DOWN = 3;

  /** Exceeds the longest retry delay, so that the down state does not expire between retries. */
  private static final long DOWN_EXPIRY_MILLIS = 15_000;

  private final Scheduler scheduler;
  private final TableService table;
  private final WriteBatcher writes;
  private final EventRecorder events;
  private final ReleaseRequests releases;
  private final IntSupplier failureDomains;
  private final Backoff backoff;
  private final Backoff conflictBackoff;
  private boolean isFrozen;
  private int failures;
  private long failedAtMillis;

  AllotmentTableClient(
      Scheduler scheduler,
      TableService table,
      EventRecorder events,
      ReleaseRequests releases,
      IntSupplier failureDomains,
      LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.writes = new WriteBatcher(scheduler, table, BATCH_INTERVAL_MILLIS);
    this.events = Objects.requireNonNull(events, "events");
    this.releases = Objects.requireNonNull(releases, "releases");
    this.failureDomains = Objects.requireNonNull(failureDomains, "failureDomains");
    this.conflictBackoff =
        new Backoff(FIRST_CONFLICT_RETRY_MILLIS, MAX_CONFLICT_RETRY_MILLIS, random);
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Returns true if several consecutive reads or writes failed, the last one recently. */
  boolean isDown() {
    return failures >= FAILURES_UNTIL_DOWN
        && scheduler.nowMillis() - failedAtMillis < DOWN_EXPIRY_MILLIS;
  }

  /** Permanently stops all operations before the ledger is handed over. */
  void freeze() {
    isFrozen = true;
  }

  /** Starts the pending operations of an allotment unless one is in progress. */
  void startWork(HeldAllotment allotment) {
    if (!allotment.isBusy) {
      allotment.isBusy = true;
      startNextOperation(allotment);
    }
  }

  /** Requests a background draw if the allotment is low. */
  void refillIfLow(HeldAllotment allotment) {
    long now = scheduler.nowMillis();
    long target = allotment.ledger.target(allotment.lean(), now);
    if (now >= allotment.nextRefillAtMillis
        && !allotment.isAdopted
        && AllotmentSizing.isLow(target, allotment.ledger.available())) {
      allotment.nextRefillAtMillis = now + REFILL_INTERVAL_MILLIS;
      allotment.isRefillRequested = true;
      startWork(allotment);
    }
  }

  private void startNextOperation(HeldAllotment allotment) {
    grantWaiting(allotment);
    if (isFrozen || allotment.isClosed || !allotment.hasWork()) {
      finishWork(allotment);
    } else if (allotment.mustRead) {
      read(allotment);
    } else if (allotment.hasReturn()) {
      writeReturn(allotment);
    } else {
      draw(allotment);
    }
  }

  private void finishWork(HeldAllotment allotment) {
    allotment.isBusy = false;
    allotment.failures = 0;
    allotment.conflicts = 0;
    allotment.completeReleases(0);
    if (isFrozen || allotment.isClosed) {
      complete(
          allotment,
          List.copyOf(allotment.waiting),
          new ReservationResult.Unavailable("the holder has ended"));
    }
  }

  private void grantWaiting(HeldAllotment allotment) {
    if (allotment.isClosed || isFrozen) {
      return;
    }
    long now = scheduler.nowMillis();
    String account = allotment.ledger.account();
    for (WaitingReservation waiter : List.copyOf(allotment.waiting)) {
      if (!account.isEmpty() && !account.equals(waiter.call.account())) {
        complete(allotment, List.of(waiter), new ReservationResult.UnknownBudget());
      } else if (!account.isEmpty() && waiter.call.tokens() <= allotment.ledger.available()) {
        HolderLedger.GrantResult grant = allotment.grant(waiter.call, now);
        complete(allotment, List.of(waiter), toResult(allotment, waiter.call, grant));
      }
    }
  }

  private static ReservationResult toResult(
      HeldAllotment allotment, ReserveCall call, HolderLedger.GrantResult grant) {
    return grant == HolderLedger.GrantResult.GRANTED
        ? call.toGranted(allotment.holderLedger.holder())
        : new ReservationResult.Unavailable("the reservation was closed before it was granted");
  }

  private static void complete(
      HeldAllotment allotment, List<WaitingReservation> done, ReservationResult result) {
    for (WaitingReservation waiter : done) {
      allotment.waiting.remove(waiter);
      waiter.complete(result);
    }
  }

  private void read(HeldAllotment allotment) {
    List<WaitingReservation> present = List.copyOf(allotment.waiting);
    FutureCallbacks.onValue(
        table.read(List.of(allotment.budgetKey(), allotment.allotmentKey())),
        result -> {
          if (result instanceof ReadResult.Rows rows) {
            failures = 0;
            allotment.failures = 0;
            handleRead(allotment, rows, present);
            startNextOperation(allotment);
          } else {
            retryLater(allotment);
          }
        });
  }

  private void handleRead(
      HeldAllotment allotment, ReadResult.Rows rows, List<WaitingReservation> present) {
    allotment.mustRead = false;
    allotment.readAtMillis = scheduler.nowMillis();
    updateRow(
        allotment,
        TableReads.find(rows, allotment.budgetKey()).orElse(new Row(allotment.budgetKey(), 0, "")));
    updateRow(
        allotment,
        TableReads.find(rows, allotment.allotmentKey())
            .orElse(new Row(allotment.allotmentKey(), 0, "")));
    for (WaitingReservation waiter : present) {
      if (waiter.progress == WaitingReservation.Progress.NEW) {
        waiter.progress = WaitingReservation.Progress.READ;
      }
      if (allotment.budgetRow == null
          || !allotment.budgetRow.account().equals(waiter.call.account())) {
        complete(allotment, List.of(waiter), new ReservationResult.UnknownBudget());
      }
    }
  }

  private void updateRow(HeldAllotment allotment, Row row) {
    boolean isPresent = row.version() > 0;
    if (row.key().equals(allotment.budgetKey())) {
      allotment.setBudgetRow(
          row.version(), isPresent ? Json.read(row.value(), BudgetRow.class) : null);
    } else if (row.key().equals(allotment.allotmentKey())) {
      allotment.setAllotmentRow(
          row.version(), isPresent ? Json.read(row.value(), AllotmentRow.class) : null);
    }
  }

  private void draw(HeldAllotment allotment) {
    BudgetLedger ledger = allotment.ledger;
    List<WaitingReservation> tooLarge = new ArrayList<>();
    long remaining = Math.max(0, ledger.available()) + allotment.undrawn();
    long wanted = 0;
    for (WaitingReservation waiter : allotment.waiting) {
      if (waiter.call.tokens() <= remaining) {
        remaining -= waiter.call.tokens();
        wanted += waiter.call.tokens();
      } else {
        tooLarge.add(waiter);
      }
    }
    long needed = Math.max(0, wanted - ledger.available());
    long target = ledger.target(allotment.lean(), scheduler.nowMillis());
    long amount =
        AllotmentSizing.draw(
            target, ledger.available(), needed, allotment.undrawn(), failureDomains.getAsInt());
    boolean isStale = scheduler.nowMillis() - allotment.readAtMillis >= REFILL_INTERVAL_MILLIS;
    if (amount > 0 && (needed > 0 || tooLarge.isEmpty())) {
      allotment.isRefillRequested = false;
      writeDraw(allotment, amount);
    } else if (!tooLarge.isEmpty()) {
      handleTooLarge(allotment, tooLarge);
    } else if (isStale) {
      read(allotment);
    } else {
      allotment.isRefillRequested = false;
      startNextOperation(allotment);
    }
  }

  private void handleTooLarge(HeldAllotment allotment, List<WaitingReservation> tooLarge) {
    boolean hasNew =
        tooLarge.stream().anyMatch(waiter -> waiter.progress == WaitingReservation.Progress.NEW);
    if (allotment.budgetRow == null || hasNew) {
      read(allotment);
      return;
    }
    for (WaitingReservation waiter : List.copyOf(tooLarge)) {
      if (waiter.call.tokens() > allotment.budgetRow.granted()) {
        complete(
            allotment,
            List.of(waiter),
            new ReservationResult.AboveBudget(allotment.budgetRow.granted()));
        tooLarge.remove(waiter);
      } else if (waiter.progress == WaitingReservation.Progress.RELEASED) {
        complete(allotment, List.of(waiter), new ReservationResult.Exhausted(allotment.undrawn()));
        tooLarge.remove(waiter);
      }
    }
    if (tooLarge.isEmpty()) {
      startNextOperation(allotment);
    } else {
      requestRelease(allotment, tooLarge);
    }
  }

  private void requestRelease(HeldAllotment allotment, List<WaitingReservation> tooLarge) {
    long now = scheduler.nowMillis();
    long tokens =
        tooLarge.stream().mapToLong(waiter -> waiter.call.tokens()).sum() - allotment.undrawn();
    CompletableFuture<Void> releaseRequest = CompletableFuture.completedFuture(null);
    if (now >= allotment.nextReleaseAtMillis) {
      allotment.nextReleaseAtMillis = now + RELEASE_INTERVAL_MILLIS;
      releaseRequest = releases.request(allotment.ledger.budget(), tokens);
    }
    FutureCallbacks.onValue(
        releaseRequest,
        done -> {
          tooLarge.forEach(waiter -> waiter.progress = WaitingReservation.Progress.RELEASED);
          read(allotment);
        });
  }

  private void writeDraw(HeldAllotment allotment, long tokens) {
    AllotmentRow next =
        new AllotmentRow(allotment.ledger.drawn() + tokens, allotment.ledger.returned(), false);
    write(allotment, tokens, next, "allotment_drawn");
  }

  private void writeReturn(HeldAllotment allotment) {
    boolean closes = allotment.isCloseRequested && allotment.ledger.open().isEmpty();
    if (allotment.isCloseRequested) {
      allotment.ledger.withhold(Long.MAX_VALUE);
    } else if (allotment.ledger.withheld() == 0) {
      allotment.ledger.withhold(allotment.tokensToReturn);
    }
    allotment.tokensToReturn = 0;
    long tokens = allotment.ledger.withheld();
    boolean mayHaveRow = allotment.allotmentVersion > 0 || allotment.isInDoubt;
    if (allotment.budgetRow == null || !mayHaveRow || (tokens == 0 && !closes)) {
      allotment.ledger.cancelReturn();
      allotment.isClosed = closes;
      allotment.isCloseRequested = false;
      startNextOperation(allotment);
      return;
    }
    if (allotment.budgetRow.drawn() < tokens) {
      rereadBudgetRow(allotment);
      return;
    }
    long returned = allotment.ledger.returned() + tokens;
    write(
        allotment,
        -tokens,
        new AllotmentRow(allotment.ledger.drawn(), returned, closes),
        "allotment_returned");
  }

  /** Reads an outdated budget row again; retries with a delay if it was read at this moment. */
  private void rereadBudgetRow(HeldAllotment allotment) {
    if (allotment.readAtMillis == scheduler.nowMillis()) {
      allotment.mustRead = true;
      retryLater(allotment);
    } else {
      read(allotment);
    }
  }

  private void write(HeldAllotment allotment, long tokens, AllotmentRow next, String event) {
    BudgetRow budget = allotment.budgetRow.withDrawn(tokens);
    allotment.isWriting = true;
    List<Mutation> mutations =
        List.of(
            Mutation.replace(allotment.budgetKey(), allotment.budgetVersion, Json.write(budget)),
            Mutation.replace(
                allotment.allotmentKey(), allotment.allotmentVersion, Json.write(next)));
    FutureCallbacks.onValue(
        writes.submit(mutations),
        result -> {
          allotment.isWriting = false;
          if (result instanceof WriteResult.Committed committed) {
            failures = 0;
            allotment.failures = 0;
            allotment.setBudgetRow(committed.versions().get(0), budget);
            allotment.setAllotmentRow(committed.versions().get(1), next);
            events.recordBudget(event, allotment.ledger.budget(), "tokens=" + Math.abs(tokens));
            allotment.completeReleases(Math.max(0, -tokens));
            startNextOperation(allotment);
          } else {
            handleFailure(allotment, result);
          }
        });
  }

  private void handleFailure(HeldAllotment allotment, WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      allotment.conflicts++;
      allotment.mustRead = conflict.rows().isEmpty();
      conflict.rows().forEach(row -> updateRow(allotment, row));
      scheduler.schedule(
          conflictBackoff.delayMillis(allotment.conflicts), () -> startNextOperation(allotment));
      return;
    }
    if (result instanceof WriteResult.Unknown) {
      allotment.isInDoubt = true;
      allotment.mustRead = true;
    } else if (!allotment.isInDoubt) {
      allotment.ledger.cancelReturn();
      allotment.completeReleases(0);
    }
    retryLater(allotment);
  }

  private void retryLater(HeldAllotment allotment) {
    failures++;
    failedAtMillis = scheduler.nowMillis();
    allotment.failures++;
    scheduler.schedule(
        backoff.delayMillis(allotment.failures), () -> startNextOperation(allotment));
  }
}
