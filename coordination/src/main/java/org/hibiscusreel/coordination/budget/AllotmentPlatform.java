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
 * Draws and returns the tokens of allotments. At most one read or write is in progress for each
 * allotment. All writes of an allotment are conditional on the version of its row, so a write whose
 * answer was lost can take effect only until the next one has taken effect.
 */
final class AllotmentPlatform {

  /** Asks holders elsewhere to return tokens; completes when all have responded or timed out. */
  interface ReleaseRequests {
    CompletableFuture<Void> request(String budget, long tokens);
  }

  private static final long TICK_MILLIS = 20;
  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long MAX_RETRY_MILLIS = 10_000;

  /** A conflict means that another holder made progress, so the retry is soon. */
  private static final long FIRST_CONFLICT_RETRY_MILLIS = 10;

  private static final long MAX_CONFLICT_RETRY_MILLIS = 200;

  /** Bounds the requests to other domains while a budget is used up. */
  private static final long RELEASE_INTERVAL_MILLIS = 250;

  private static final long REFILL_INTERVAL_MILLIS = 1_000;
  private static final int FAILURES_UNTIL_DOWN = 3;

  /** Above the longest delay between retries, so that a lasting outage is not forgotten. */
  private static final long DOWN_MEMORY_MILLIS = 15_000;

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

  AllotmentPlatform(
      Scheduler scheduler,
      TableService table,
      EventRecorder events,
      ReleaseRequests releases,
      IntSupplier failureDomains,
      LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.writes = new WriteBatcher(scheduler, table, TICK_MILLIS);
    this.events = Objects.requireNonNull(events, "events");
    this.releases = Objects.requireNonNull(releases, "releases");
    this.failureDomains = Objects.requireNonNull(failureDomains, "failureDomains");
    this.conflictBackoff =
        new Backoff(FIRST_CONFLICT_RETRY_MILLIS, MAX_CONFLICT_RETRY_MILLIS, random);
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Returns true after several reads or writes in a row failed, the last one a short time ago. */
  boolean isDown() {
    return failures >= FAILURES_UNTIL_DOWN
        && scheduler.nowMillis() - failedAtMillis < DOWN_MEMORY_MILLIS;
  }

  /** Ends all work for good, because the ledger is about to be handed over. */
  void freeze() {
    isFrozen = true;
  }

  /** Starts the work of an allotment unless it is in progress. */
  void start(HeldAllotment a) {
    if (!a.isBusy) {
      a.isBusy = true;
      proceed(a);
    }
  }

  /** Asks for a background draw if the allotment is low. */
  void refillIfLow(HeldAllotment a) {
    long now = scheduler.nowMillis();
    long target = a.ledger.target(a.lean(), now);
    if (now >= a.nextRefillAtMillis
        && !a.isAdopted
        && AllotmentSizing.isLow(target, a.ledger.available())) {
      a.nextRefillAtMillis = now + REFILL_INTERVAL_MILLIS;
      a.wantsRefill = true;
      start(a);
    }
  }

  private void proceed(HeldAllotment a) {
    serve(a);
    if (isFrozen || a.isClosed || !a.hasWork()) {
      end(a);
    } else if (a.mustRead) {
      read(a);
    } else if (a.hasReturn()) {
      giveBack(a);
    } else {
      draw(a);
    }
  }

  private void end(HeldAllotment a) {
    a.isBusy = false;
    a.failures = 0;
    a.conflicts = 0;
    a.completeReleases(0);
    if (isFrozen || a.isClosed) {
      complete(
          a, List.copyOf(a.waiting), new ReservationResult.Unavailable("the holder has ended"));
    }
  }

  private void serve(HeldAllotment a) {
    if (a.isClosed || isFrozen) {
      return;
    }
    long now = scheduler.nowMillis();
    String account = a.ledger.account();
    for (WaitingReservation w : List.copyOf(a.waiting)) {
      if (!account.isEmpty() && !account.equals(w.call.account())) {
        complete(a, List.of(w), new ReservationResult.UnknownBudget());
      } else if (!account.isEmpty() && w.call.tokens() <= a.ledger.available()) {
        HolderLedger.Grant grant = a.grant(w.call, now);
        complete(a, List.of(w), toResult(a, w.call, grant));
      }
    }
  }

  private static ReservationResult toResult(
      HeldAllotment a, ReserveCall call, HolderLedger.Grant grant) {
    return grant == HolderLedger.Grant.GRANTED
        ? call.toGranted(a.holderLedger.holder())
        : new ReservationResult.Unavailable("the reservation was closed before it was granted");
  }

  private static void complete(
      HeldAllotment a, List<WaitingReservation> done, ReservationResult result) {
    for (WaitingReservation w : done) {
      a.waiting.remove(w);
      w.complete(result);
    }
  }

  private void read(HeldAllotment a) {
    List<WaitingReservation> present = List.copyOf(a.waiting);
    FutureCallbacks.onValue(
        table.read(List.of(a.budgetKey(), a.allotmentKey())),
        result -> {
          if (result instanceof ReadResult.Rows rows) {
            failures = 0;
            a.failures = 0;
            observeRead(a, rows, present);
            proceed(a);
          } else {
            retryLater(a);
          }
        });
  }

  private void observeRead(
      HeldAllotment a, ReadResult.Rows rows, List<WaitingReservation> present) {
    a.mustRead = false;
    a.readAtMillis = scheduler.nowMillis();
    observe(a, TableReads.find(rows, a.budgetKey()).orElse(new Row(a.budgetKey(), 0, "")));
    observe(a, TableReads.find(rows, a.allotmentKey()).orElse(new Row(a.allotmentKey(), 0, "")));
    for (WaitingReservation w : present) {
      if (w.progress == WaitingReservation.Progress.NEW) {
        w.progress = WaitingReservation.Progress.READ;
      }
      if (a.budgetRow == null || !a.budgetRow.account().equals(w.call.account())) {
        complete(a, List.of(w), new ReservationResult.UnknownBudget());
      }
    }
  }

  private void observe(HeldAllotment a, Row row) {
    boolean isPresent = row.version() > 0;
    if (row.key().equals(a.budgetKey())) {
      a.setBudgetRow(row.version(), isPresent ? Json.read(row.value(), BudgetRow.class) : null);
    } else if (row.key().equals(a.allotmentKey())) {
      a.observeAllotment(
          row.version(), isPresent ? Json.read(row.value(), AllotmentRow.class) : null);
    }
  }

  private void draw(HeldAllotment a) {
    BudgetLedger ledger = a.ledger;
    List<WaitingReservation> tooLarge = new ArrayList<>();
    long left = Math.max(0, ledger.available()) + a.undrawn();
    long wanted = 0;
    for (WaitingReservation w : a.waiting) {
      if (w.call.tokens() <= left) {
        left -= w.call.tokens();
        wanted += w.call.tokens();
      } else {
        tooLarge.add(w);
      }
    }
    long needed = Math.max(0, wanted - ledger.available());
    long target = ledger.target(a.lean(), scheduler.nowMillis());
    long amount =
        AllotmentSizing.draw(
            target, ledger.available(), needed, a.undrawn(), failureDomains.getAsInt());
    boolean isStale = scheduler.nowMillis() - a.readAtMillis >= REFILL_INTERVAL_MILLIS;
    if (amount > 0 && (needed > 0 || tooLarge.isEmpty())) {
      a.wantsRefill = false;
      writeDraw(a, amount);
    } else if (!tooLarge.isEmpty()) {
      handleTooLarge(a, tooLarge);
    } else if (isStale) {
      read(a);
    } else {
      a.wantsRefill = false;
      proceed(a);
    }
  }

  private void handleTooLarge(HeldAllotment a, List<WaitingReservation> tooLarge) {
    boolean hasNew = tooLarge.stream().anyMatch(w -> w.progress == WaitingReservation.Progress.NEW);
    if (a.budgetRow == null || hasNew) {
      read(a);
      return;
    }
    for (WaitingReservation w : List.copyOf(tooLarge)) {
      if (w.call.tokens() > a.budgetRow.granted()) {
        complete(a, List.of(w), new ReservationResult.AboveBudget(a.budgetRow.granted()));
        tooLarge.remove(w);
      } else if (w.progress == WaitingReservation.Progress.RELEASED) {
        complete(a, List.of(w), new ReservationResult.Exhausted(a.undrawn()));
        tooLarge.remove(w);
      }
    }
    if (tooLarge.isEmpty()) {
      proceed(a);
    } else {
      requestRelease(a, tooLarge);
    }
  }

  private void requestRelease(HeldAllotment a, List<WaitingReservation> tooLarge) {
    long now = scheduler.nowMillis();
    long tokens = tooLarge.stream().mapToLong(w -> w.call.tokens()).sum() - a.undrawn();
    CompletableFuture<Void> asked = CompletableFuture.completedFuture(null);
    if (now >= a.nextReleaseAtMillis) {
      a.nextReleaseAtMillis = now + RELEASE_INTERVAL_MILLIS;
      asked = releases.request(a.ledger.budget(), tokens);
    }
    FutureCallbacks.onValue(
        asked,
        done -> {
          tooLarge.forEach(w -> w.progress = WaitingReservation.Progress.RELEASED);
          read(a);
        });
  }

  private void writeDraw(HeldAllotment a, long tokens) {
    AllotmentRow next = new AllotmentRow(a.ledger.drawn() + tokens, a.ledger.returned(), false);
    write(a, tokens, next, "allotment_drawn");
  }

  private void giveBack(HeldAllotment a) {
    boolean closes = a.wantsClose && a.ledger.open().isEmpty();
    if (a.wantsClose) {
      a.ledger.withhold(Long.MAX_VALUE);
    } else if (a.ledger.withheld() == 0) {
      a.ledger.withhold(a.wantsReturn);
    }
    a.wantsReturn = 0;
    long tokens = a.ledger.withheld();
    boolean mayHaveRow = a.allotmentVersion > 0 || a.isInDoubt;
    if (a.budgetRow == null || !mayHaveRow || (tokens == 0 && !closes)) {
      a.ledger.cancelReturn();
      a.isClosed = closes;
      a.wantsClose = false;
      proceed(a);
      return;
    }
    if (a.budgetRow.drawn() < tokens) {
      readAgain(a);
      return;
    }
    long returned = a.ledger.returned() + tokens;
    write(a, -tokens, new AllotmentRow(a.ledger.drawn(), returned, closes), "allotment_returned");
  }

  /** Replaces an outdated budget row; one that was just read is retried later. */
  private void readAgain(HeldAllotment a) {
    if (a.readAtMillis == scheduler.nowMillis()) {
      a.mustRead = true;
      retryLater(a);
    } else {
      read(a);
    }
  }

  private void write(HeldAllotment a, long tokens, AllotmentRow next, String event) {
    BudgetRow budget = a.budgetRow.withDrawn(tokens);
    a.isWriting = true;
    List<Mutation> mutations =
        List.of(
            Mutation.replace(a.budgetKey(), a.budgetVersion, Json.write(budget)),
            Mutation.replace(a.allotmentKey(), a.allotmentVersion, Json.write(next)));
    FutureCallbacks.onValue(
        writes.submit(mutations),
        result -> {
          a.isWriting = false;
          if (result instanceof WriteResult.Committed committed) {
            failures = 0;
            a.failures = 0;
            a.setBudgetRow(committed.versions().get(0), budget);
            a.observeAllotment(committed.versions().get(1), next);
            events.recordBudget(event, a.ledger.budget(), "tokens=" + Math.abs(tokens));
            a.completeReleases(Math.max(0, -tokens));
            proceed(a);
          } else {
            handleFailure(a, result);
          }
        });
  }

  private void handleFailure(HeldAllotment a, WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      a.conflicts++;
      a.mustRead = conflict.rows().isEmpty();
      conflict.rows().forEach(row -> observe(a, row));
      scheduler.schedule(conflictBackoff.delayMillis(a.conflicts), () -> proceed(a));
      return;
    }
    if (result instanceof WriteResult.Unknown) {
      a.isInDoubt = true;
      a.mustRead = true;
    } else if (!a.isInDoubt) {
      a.ledger.cancelReturn();
      a.completeReleases(0);
    }
    retryLater(a);
  }

  private void retryLater(HeldAllotment a) {
    failures++;
    failedAtMillis = scheduler.nowMillis();
    a.failures++;
    scheduler.schedule(backoff.delayMillis(a.failures), () -> proceed(a));
  }
}
