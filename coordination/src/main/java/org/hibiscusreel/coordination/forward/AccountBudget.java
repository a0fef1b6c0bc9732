package org.hibiscusreel.coordination.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AccountAllotment;

/**
 * Prepaid tokens of one client account. The row of the account holds what all daemons have drawn,
 * the row of this incarnation its own part; one transaction with the versions of both changes them
 * together. A transaction whose answer was lost may still take effect later, but only as long as
 * neither version changed, so the next transaction or conflict settles it.
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

  private static final String TOTAL = "total";

  /** Row of the account: tokens drawn by all daemons. */
  record TotalRow(long drawn) {}

  /** Row of one incarnation: tokens drawn, tokens consumed and requests billed. */
  record HolderRow(long drawn, long spent, long requests) {}

  private record Waiter(long tokens, CompletableFuture<Outcome> outcome, Cancellable timer) {}

  private final String account;
  private final String totalKey;
  private final String holderKey;
  private final TableService table;
  private final Scheduler scheduler;
  private final IntSupplier daemons;
  private final DecisionLog log;
  private final AccountAllotment allotment = new AccountAllotment();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private long prepaid;
  private long drawnByAll;
  private long totalVersion;
  private long holderVersion;
  private boolean rowsKnown;
  private long rowsAt;
  private boolean rowsFresh;
  private boolean outcomeOpen;
  private boolean busy;
  private String failure = "";
  private CompletableFuture<Void> closing;

  AccountBudget(
      String account,
      String incarnation,
      TableService table,
      Scheduler scheduler,
      IntSupplier daemons,
      DecisionLog log) {
    this.account = account;
    this.totalKey = "allotment/" + account + "/" + TOTAL;
    this.holderKey = "allotment/" + account + "/" + incarnation;
    this.table = table;
    this.scheduler = scheduler;
    this.daemons = daemons;
    this.log = log;
  }

  void onPrepaid(long tokens) {
    if (tokens == prepaid) {
      return;
    }
    boolean cut = tokens < prepaid;
    prepaid = tokens;
    if (cut) {
      review();
    }
  }

  CompletableFuture<Outcome> reserve(long tokens, long timeoutMillis) {
    if (waiters.isEmpty() && allotment.tryReserve(tokens, scheduler.nowMillis())) {
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
    if (change == 0 && !outcomeOpen) {
      onNothingToChange();
      return;
    }
    transact(change);
  }

  private long wantedChange() {
    if (closing != null) {
      return -Math.max(0, allotment.free());
    }
    return allotment.wantedChange(
        prepaid - drawnByAll, waitingTokens(), daemons.getAsInt(), scheduler.nowMillis());
  }

  private void onNothingToChange() {
    serveWaiters();
    if (waiters.isEmpty()) {
      endClosing();
      refreshTotal();
    } else if (rowsFresh) {
      refuseWaiters(new Outcome.Exhausted());
    } else {
      readRows();
    }
  }

  private void refreshTotal() {
    boolean isOld = scheduler.nowMillis() - rowsAt >= REFRESH_MILLIS;
    if (closing != null || !isOld || allotment.free() <= 0) {
      return;
    }
    busy = true;
    var unused =
        table
            .read(List.of(totalKey))
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
    long coverable = allotment.free() + Math.max(0, prepaid - drawnByAll);
    long sum = 0;
    for (Waiter w : waiters) {
      if (sum + w.tokens() <= coverable) {
        sum += w.tokens();
      }
    }
    return sum;
  }

  /**
   * Reads the row of the account before that of the incarnation. In this order a late transaction
   * that takes effect between the two reads shows in the second one.
   */
  private void readRows() {
    busy = true;
    var unused = table.read(List.of(totalKey)).thenAccept(this::onTotalRead);
  }

  private void onTotalRead(ReadResult total) {
    if (total instanceof ReadResult.Rows t) {
      var unused = table.read(List.of(holderKey)).thenAccept(h -> onRead(t.rows(), h));
    } else {
      onRead(List.of(), total);
    }
  }

  private void onRead(List<Row> total, ReadResult holder) {
    busy = false;
    if (holder instanceof ReadResult.Rows h) {
      List<Row> rows = new ArrayList<>(total);
      rows.addAll(h.rows());
      takeRows(rows);
      review();
    } else {
      onFailure(holder.toString());
    }
  }

  /** Takes rows as the store has them; one that is not among them is as it was. */
  private void takeRows(List<Row> rows) {
    boolean changed = false;
    long drawn = allotment.drawn();
    for (Row row : rows) {
      if (row.key().equals(totalKey)) {
        changed |= row.version() != totalVersion;
        totalVersion = row.version();
        drawnByAll = row.version() == 0 ? 0 : Json.read(row.value(), TotalRow.class).drawn();
      } else if (row.key().equals(holderKey)) {
        changed |= row.version() != holderVersion;
        holderVersion = row.version();
        drawn = row.version() == 0 ? 0 : Json.read(row.value(), HolderRow.class).drawn();
      }
    }
    if (!outcomeOpen || changed) {
      outcomeOpen = false;
      allotment.resolve(drawn);
    }
    rowsKnown = true;
    onRowsRead();
  }

  private void onRowsRead() {
    rowsFresh = true;
    rowsAt = scheduler.nowMillis();
    failure = "";
  }

  private void transact(long change) {
    busy = true;
    allotment.begin(change);
    long drawn = allotment.drawn() + change;
    long all = drawnByAll + change;
    HolderRow holder = new HolderRow(drawn, allotment.spent(), allotment.requests());
    List<Mutation> mutations =
        List.of(
            Mutation.replace(totalKey, totalVersion, Json.write(new TotalRow(all))),
            Mutation.replace(holderKey, holderVersion, Json.write(holder)));
    var unused = table.transact(mutations).thenAccept(w -> onWritten(w, change, drawn, all));
  }

  private void onWritten(WriteResult result, long change, long drawn, long all) {
    busy = false;
    log.record(
        "allotment",
        Map.of(
            "account", account,
            "change", change,
            "drawn", drawn,
            "drawn_by_all", all,
            "prepaid", prepaid,
            "spent", allotment.spent(),
            "outcome", result.getClass().getSimpleName()));
    if (result instanceof WriteResult.Committed c) {
      totalVersion = c.versions().get(0);
      holderVersion = c.versions().get(1);
      drawnByAll = all;
      outcomeOpen = false;
      allotment.resolve(drawn);
      onRowsRead();
      serveWaiters();
      reviewUnlessDone();
    } else if (result instanceof WriteResult.Conflict c) {
      takeRows(c.rows());
      review();
    } else {
      if (result instanceof WriteResult.Unknown) {
        outcomeOpen = true;
      } else if (!outcomeOpen) {
        allotment.resolve(allotment.drawn());
      }
      onFailure(result.toString());
    }
  }

  private void reviewUnlessDone() {
    if (waiters.isEmpty() && closing == null) {
      return;
    }
    review();
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
      if (allotment.tryReserve(w.tokens(), scheduler.nowMillis())) {
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
