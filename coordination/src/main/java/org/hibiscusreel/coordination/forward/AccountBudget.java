package org.hibiscusreel.coordination.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AccountAllotment;
import org.hibiscusreel.core.budget.AllotmentShare;
import org.hibiscusreel.core.budget.SpendingCeiling;

/**
 * Prepaid tokens of one client account. A transaction whose answer was lost may still take effect
 * later, but only as long as neither row changed, so the next transaction or conflict settles it.
 *
 * <p>The row of a host outlives the run of the daemon that wrote it. A fresh run takes the row over
 * with all that the dead one can't have consumed. That the earlier run is dead follows from the
 * address on which this daemon serves callers: a live process would still hold it.
 */
final class AccountBudget {

  /** Pause before the table is asked again after it failed, in milliseconds. */
  static final long RETRY_MILLIS = 250;

  /**
   * Age of the rows, in milliseconds, at which a daemon with free tokens reads what all daemons
   * have drawn. Without it a daemon without demand keeps its tokens while the budget runs out
   * elsewhere.
   */
  static final long REFRESH_MILLIS = 4_000;

  /** The same for a budget that nears its end, where tokens held elsewhere are missed soon. */
  static final long LOW_REFRESH_MILLIS = 1_000;

  /** A budget is low below one in this many of its tokens. */
  static final long LOW_DIVISOR = 5;

  /**
   * A request that finds too few undrawn tokens may come back if the other daemons hold this many
   * times its size, since they give back what exceeds their share within a second or two.
   */
  static final long HELD_ELSEWHERE_FACTOR = 4;

  private record Waiter(long tokens, CompletableFuture<Outcome> outcome, Cancellable timer) {}

  private final String account;
  private final String incarnation;
  private final AllotmentRows rows;
  private final TableService table;
  private final Scheduler scheduler;
  private final StoreClock clock;
  private final LongSupplier maxCeilingAge;
  private final DecisionLog log;
  private final AccountAllotment allotment = new AccountAllotment();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private long prepaid;
  private boolean rowsKnown;
  private boolean isOwner;
  private boolean isFenced;
  private long rowsAt;
  private boolean rowsFresh;
  private boolean outcomeOpen;
  private boolean busy;
  private String failure = "";
  private CompletableFuture<Void> closing;

  AccountBudget(
      String account,
      String host,
      String incarnation,
      TableService table,
      Scheduler scheduler,
      StoreClock clock,
      LongSupplier maxCeilingAge,
      DecisionLog log) {
    this.account = account;
    this.incarnation = incarnation;
    this.rows = new AllotmentRows(account, host);
    this.table = table;
    this.scheduler = scheduler;
    this.clock = clock;
    this.maxCeilingAge = maxCeilingAge;
    this.log = log;
  }

  void onPrepaid(long tokens) {
    if (tokens == prepaid) {
      return;
    }
    boolean isNew = prepaid == 0;
    boolean isCut = tokens < prepaid;
    prepaid = tokens;
    // A new budget takes over what an earlier run held before its first request needs it.
    if (isNew || isCut) {
      review();
    }
  }

  CompletableFuture<Outcome> reserve(long tokens, long timeoutMillis) {
    if (waiters.isEmpty() && tryReserve(tokens)) {
      review();
      return CompletableFuture.completedFuture(new Outcome.Reserved());
    }
    if (!failure.isEmpty()) {
      // The retry goes on in the background; waiting for it would only delay the refusal.
      return CompletableFuture.completedFuture(new Outcome.Unavailable(failure));
    }
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    Waiter[] self = new Waiter[1];
    Cancellable timer =
        scheduler.schedule(
            timeoutMillis,
            () -> {
              waiters.remove(self[0]);
              outcome.complete(new Outcome.Unavailable("no answer of the table in time"));
            });
    self[0] = new Waiter(tokens, outcome, timer);
    waiters.addLast(self[0]);
    rowsFresh = false;
    review();
    return outcome;
  }

  private boolean tryReserve(long tokens) {
    return allotment.tryReserve(tokens, scheduler.nowMillis(), clock.millis());
  }

  void settle(long tokens, long used) {
    allotment.settle(tokens, used);
  }

  /** Gives back what is free; completes when that is done or can't be done. */
  CompletableFuture<Void> close() {
    if (closing == null) {
      closing = new CompletableFuture<>();
      if (!busy) {
        review();
      }
    }
    return closing;
  }

  /** Draws or gives back tokens if need be. */
  void review() {
    if (busy) {
      return;
    }
    if (!rowsKnown) {
      readRows();
      return;
    }
    long change = wantedChange();
    if (change == 0 && !outcomeOpen && !mustWrite()) {
      onNothingToChange();
      return;
    }
    transact(change);
  }

  /** Tells whether the row of this host must be written although nothing is drawn. */
  private boolean mustWrite() {
    if (isFenced) {
      return false;
    }
    return isTakeOverDue()
        || allotment.needsCeiling(
            waitingTokens(), maxCeilingAge.getAsLong(), scheduler.nowMillis(), clock.millis());
  }

  private boolean isTakeOverDue() {
    return !isOwner && rows.holder().drawn() > 0;
  }

  private long wantedChange() {
    if (isFenced || isTakeOverDue()) {
      return 0;
    }
    if (closing != null) {
      return -Math.max(0, allotment.free());
    }
    long wanted = allotment.wanted(scheduler.nowMillis());
    AllotmentRows.TotalRow total = rows.total();
    AllotmentShare.Account view =
        new AllotmentShare.Account(
            prepaid - total.drawn(),
            prepaid - committedByAll(),
            wanted,
            total.wanted() - rows.holder().wanted() + wanted);
    return AllotmentShare.change(view, allotment.meanSize(), allotment.free(), waitingTokens());
  }

  private long committed() {
    return allotment.spent() + allotment.reserved();
  }

  /** Returns what all hosts have declared, with the present figure of this one. */
  private long committedByAll() {
    return rows.total().committed() - rows.holder().committed() + committed();
  }

  private void onNothingToChange() {
    serveWaiters();
    if (waiters.isEmpty()) {
      endClosing();
      refreshTotal();
    } else if (rowsFresh) {
      refuseUncovered();
    } else {
      readRows();
    }
  }

  /** Refuses what waits; a caller that others have tokens for is told to come back. */
  private void refuseUncovered() {
    long elsewhere = heldElsewhere();
    while (!waiters.isEmpty()) {
      Waiter w = waiters.removeFirst();
      boolean isHeld = elsewhere >= HELD_ELSEWHERE_FACTOR * w.tokens();
      complete(w, isHeld ? new Outcome.HeldElsewhere() : new Outcome.Exhausted());
    }
  }

  private long heldElsewhere() {
    long heldByAll = rows.total().drawn() - rows.total().committed();
    return heldByAll - (rows.holder().drawn() - rows.holder().committed());
  }

  private void refreshTotal() {
    boolean isLow = prepaid - committedByAll() < prepaid / LOW_DIVISOR;
    long maxAge = isLow ? LOW_REFRESH_MILLIS : REFRESH_MILLIS;
    boolean isOld = scheduler.nowMillis() - rowsAt >= maxAge && allotment.free() > 0;
    // After a failure only an answer tells that the table is back.
    if (closing != null || (failure.isEmpty() && !isOld)) {
      return;
    }
    busy = true;
    var unused =
        table
            .read(List.of(rows.totalKey()))
            .thenAccept(
                r -> {
                  busy = false;
                  if (r instanceof ReadResult.Rows total) {
                    takeRows(total.rows());
                    review();
                  } else {
                    onFailure(r.toString());
                  }
                });
  }

  /** Returns the tokens of the waiting requests that the rest of the budget can cover. */
  private long waitingTokens() {
    long coverable = allotment.free() + Math.max(0, prepaid - rows.total().drawn());
    long sum = 0;
    for (Waiter w : waiters) {
      if (sum + w.tokens() <= coverable) {
        sum += w.tokens();
      }
    }
    return sum;
  }

  /**
   * Reads the row of the account before that of the host. In this order a late transaction that
   * takes effect between the two reads shows in the second one.
   */
  private void readRows() {
    busy = true;
    var unused = table.read(List.of(rows.totalKey())).thenAccept(this::onTotalRead);
  }

  private void onTotalRead(ReadResult total) {
    if (total instanceof ReadResult.Rows t) {
      var unused = table.read(List.of(rows.holderKey())).thenAccept(h -> onRead(t.rows(), h));
    } else {
      onRead(List.of(), total);
    }
  }

  private void onRead(List<Row> total, ReadResult holder) {
    busy = false;
    if (holder instanceof ReadResult.Rows h) {
      List<Row> found = new ArrayList<>(total);
      found.addAll(h.rows());
      takeRows(found);
      review();
    } else {
      onFailure(holder.toString());
    }
  }

  private void takeRows(List<Row> found) {
    boolean changed = rows.take(found);
    AllotmentRows.HolderRow holder = rows.holder();
    final boolean wasOwner = isOwner;
    isOwner = holder.incarnation().equals(incarnation);
    if (wasOwner && !isOwner) {
      onFenced(holder.incarnation());
    } else if (!isOwner && holder.drawn() > 0) {
      boolean isTimeKnown = clock.millis() > 0;
      long spent = isTimeKnown ? holder.spentAtMost(clock.millis()) : holder.drawn();
      allotment.inherit(spent, holder.requests(), holder.forecast(), scheduler.nowMillis());
    }
    if (!outcomeOpen || changed) {
      outcomeOpen = false;
      resolve();
    }
    rowsKnown = true;
    onRowsRead();
  }

  /** Another process of this host took the row over, so nothing may be spent from it any more. */
  private void onFenced(String successor) {
    isFenced = true;
    log.record("allotment_fenced", Map.of("account", account, "successor", successor));
  }

  /** Takes the row of this host for what is held; the row of a dead run must be replaced first. */
  private void resolve() {
    AllotmentRows.HolderRow holder = rows.holder();
    allotment.resolve(
        isOwner ? holder.drawn() : 0, isOwner ? holder.ceiling() : SpendingCeiling.NONE);
  }

  private void onRowsRead() {
    rowsFresh = true;
    rowsAt = scheduler.nowMillis();
    failure = "";
  }

  private void transact(long change) {
    busy = true;
    long now = scheduler.nowMillis();
    long wanted = allotment.wanted(now);
    AllotmentRows.HolderRow next =
        new AllotmentRows.HolderRow(
            incarnation,
            rows.holder().drawn() + change,
            allotment.spent(),
            committed() + waitingTokens(),
            allotment.requests(),
            closing == null ? wanted : 0,
            wanted,
            allotment.nextCeiling(waitingTokens(), now, clock.millis()));
    allotment.begin(change, next.ceiling());
    var unused = table.transact(rows.replace(next)).thenAccept(w -> onWritten(w, change, next));
  }

  private void onWritten(WriteResult result, long change, AllotmentRows.HolderRow next) {
    busy = false;
    log(result, change, next);
    if (result instanceof WriteResult.Committed c) {
      final boolean isTakenOver = isTakeOverDue();
      rows.onCommitted(next, c.versions());
      isOwner = true;
      outcomeOpen = false;
      resolve();
      onRowsRead();
      serveWaiters();
      if (isTakenOver || !waiters.isEmpty() || closing != null) {
        review();
      }
    } else if (result instanceof WriteResult.Conflict c) {
      takeRows(c.rows());
      review();
    } else {
      if (result instanceof WriteResult.Unknown) {
        outcomeOpen = true;
      } else if (!outcomeOpen) {
        resolve();
      }
      onFailure(result.toString());
    }
  }

  private void log(WriteResult result, long change, AllotmentRows.HolderRow next) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("account", account);
    fields.put("change", change);
    fields.put("drawn", next.drawn());
    fields.put("drawn_by_all", rows.total().drawn() + change);
    fields.put("committed_by_all", rows.total().committed());
    fields.put("wanted", next.wanted());
    fields.put("wanted_by_all", rows.total().wanted());
    fields.put("prepaid", prepaid);
    fields.put("spent", next.spent());
    fields.put("before", isOwner ? "" : rows.holder().incarnation());
    fields.put("outcome", result.getClass().getSimpleName());
    log.record("allotment", fields);
  }

  private void onFailure(String reason) {
    failure = reason;
    refuseWaiters(new Outcome.Unavailable(reason));
    if (closing != null) {
      closing.complete(null);
      return;
    }
    scheduler.schedule(RETRY_MILLIS, this::review);
  }

  private void endClosing() {
    if (closing != null) {
      closing.complete(null);
    }
  }

  private void serveWaiters() {
    for (Waiter w : List.copyOf(waiters)) {
      if (tryReserve(w.tokens())) {
        waiters.remove(w);
        complete(w, new Outcome.Reserved());
      }
    }
  }

  private void refuseWaiters(Outcome outcome) {
    while (!waiters.isEmpty()) {
      complete(waiters.removeFirst(), outcome);
    }
  }

  private static void complete(Waiter waiter, Outcome outcome) {
    waiter.timer().cancel();
    waiter.outcome().complete(outcome);
  }
}
