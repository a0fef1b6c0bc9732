package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
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
 * Prepaid tokens that this daemon holds for one client account. A write whose response was lost may
 * still take effect later, while the rows that its condition names are unchanged. Until it is
 * settled, the least that any of the {@link PendingWrites} leaves may be spent.
 *
 * <p>The row of a host remains after the incarnation that wrote it has ended. A new incarnation
 * takes over the row with all tokens that the previous one can't have consumed until its end. It
 * had ended before this daemon sent its first call to the store, because this daemon had bound the
 * address of its readiness before, which a process holds until it ends.
 *
 * <p>When the store is restored from an older copy, its rows lack what was drawn since. Each era of
 * the store has its own rows: a daemon first declares what it holds, and nobody draws before all
 * had the time to do so. The rows of hosts whose daemons have ended are declared by daemons that
 * keep a copy of them, or are taken from the store as it is. From all of them the row of the
 * account is computed.
 */
final class AccountBudget {

  /** Delay in milliseconds before a failed call to the table service is retried. */
  static final long RETRY_DELAY_MILLIS = 250;

  /**
   * Age in milliseconds at which a daemon with free tokens refreshes the totals of all daemons.
   * Without the refresh, a daemon without demand keeps its tokens while the budget runs out on
   * other daemons.
   */
  static final long REFRESH_INTERVAL_MILLIS = 4_000;

  /**
   * Age in milliseconds at which the totals of a low budget are refreshed. It is shorter because
   * other daemons soon need the tokens that this daemon holds.
   */
  static final long LOW_BUDGET_REFRESH_INTERVAL_MILLIS = 1_000;

  /**
   * A budget is low when the uncommitted tokens are less than the prepaid tokens divided by this.
   */
  static final long LOW_BUDGET_DIVISOR = 5;

  /**
   * A request that finds too few undrawn tokens is asked to retry if the other daemons hold at
   * least this many times its tokens, since they return their surplus within seconds.
   */
  static final long HELD_ELSEWHERE_FACTOR = 4;

  /**
   * Number of declaration intervals after which a daemon with free tokens refreshes the totals, so
   * that the reads of a large fleet stay few. A low budget is refreshed after a fraction of one.
   */
  private static final int REFRESH_DECLARATIONS = 2;

  /**
   * Longest pause after the second conflict in a row, in durations of a transaction. Two daemons
   * fail only if one begins while the transaction of the other is under way.
   */
  private static final int CONFLICT_PAUSE_CALLS = 4;

  /** Least value in milliseconds of the longest pause after the second conflict in a row. */
  private static final long MIN_CONFLICT_PAUSE_MILLIS = 20;

  /** Odd number with evenly spread bits: hashes that differ little give very different pauses. */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /** Number of daemons above which another one has probably written the row of an account. */
  private static final int MAX_UNCONTENDED_DAEMONS = 16;

  /**
   * Age in milliseconds up to which the row of a contended account counts as current. A transaction
   * that expects an older one takes up the time of the store and fails.
   */
  private static final long FRESH_MILLIS = 4;

  /** Largest number of rows of one account that are read in one call. */
  private static final int MAX_SCANNED_ROWS = 500;

  /** Delay in milliseconds before rows that can't be used are read again. */
  static final long UNUSABLE_RETRY_MILLIS = 1_000;

  /**
   * Least time in milliseconds between the first response of a new era and the first draw. Within
   * it, each daemon that reaches the store notices the era, as a call without a response is
   * followed by another one after {@link FeedFollower#OVERDUE_MILLIS}.
   */
  static final long MIN_DECLARATION_MILLIS = 3_000;

  /** Where rows come from, which tells what they prove about pending writes. */
  private enum RowSource {
    /** The row of the account was read alone. */
    TOTAL,
    /** The row of the account was read, and then that of the host. */
    BOTH,
    /** A write conflicted; a row that is not given has the version that the write expected. */
    CONFLICT
  }

  private record Waiter(long tokens, CompletableFuture<Outcome> outcome, Cancellable timer) {}

  private final String account;
  private final String host;
  private final String incarnation;
  private AllotmentRows rows;
  private final TableService table;
  private final Scheduler scheduler;
  private final StoreClock clock;
  private final IntSupplier daemons;
  private final LongSupplier maxCeilingAgeMillis;
  private final LongSupplier eraBeganAtMillis;
  private final HolderCopies copies;
  private final DecisionLog log;
  private final AccountAllotment allotment = new AccountAllotment();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private long prepaid;
  private boolean rowsKnown;
  private boolean isOwner;
  private boolean isFenced;
  private boolean isUndeclared; // whether the row of this host lacks what this daemon holds
  private long rowsReadAtMillis;
  private long declaredAtMillis = Long.MIN_VALUE / 2;
  private long transactionBeganAtMillis;
  private long callMillis; // duration of the last transaction
  private int conflicts; // in a row, of transactions that replace the row of the account
  private boolean rowsCurrent;
  private final PendingWrites pendingWrites = new PendingWrites();
  private boolean callInProgress;
  private boolean retryScheduled;
  private Cancellable retry = () -> {};
  private boolean readAgain; // whether both rows were read once more because they disagreed
  private String failureReason = "";
  private String unusableReason = "";
  private long unusableUntilMillis = Long.MIN_VALUE;
  private CompletableFuture<Void> closeFuture;

  AccountBudget(
      String account,
      String host,
      String incarnation,
      TableService table,
      Scheduler scheduler,
      StoreClock clock,
      IntSupplier daemons,
      LongSupplier maxCeilingAgeMillis,
      LongSupplier eraBeganAtMillis,
      HolderCopies copies,
      DecisionLog log) {
    this.account = account;
    this.host = host;
    this.incarnation = incarnation;
    this.rows = new AllotmentRows(account, host, table.era());
    this.eraBeganAtMillis = eraBeganAtMillis;
    this.copies = copies;
    this.table = table;
    this.scheduler = scheduler;
    this.clock = clock;
    this.daemons = daemons;
    this.maxCeilingAgeMillis = maxCeilingAgeMillis;
    this.log = log;
  }

  void setPrepaidTokens(long tokens) {
    if (tokens == prepaid) {
      return;
    }
    boolean isNew = prepaid == 0;
    boolean isCut = tokens < prepaid;
    prepaid = tokens;
    // A new budget takes over the tokens of an earlier incarnation before its first request.
    if (isNew || isCut) {
      rebalance();
    }
  }

  CompletableFuture<Outcome> reserve(long tokens, long timeoutMillis) {
    if (waiters.isEmpty() && tryReserve(tokens)) {
      rebalance();
      return CompletableFuture.completedFuture(new Outcome.Reserved());
    }
    if (!failureReason.isEmpty()) {
      // The retry runs in the background; waiting for it would only delay the refusal.
      return CompletableFuture.completedFuture(new Outcome.Unavailable(failureReason));
    }
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    Waiter[] self = new Waiter[1];
    Cancellable timer =
        scheduler.schedule(
            timeoutMillis,
            () -> {
              waiters.remove(self[0]);
              allotment.addDemand(tokens, scheduler.nowMillis());
              outcome.complete(new Outcome.Unavailable("no answer of the table in time"));
            });
    self[0] = new Waiter(tokens, outcome, timer);
    waiters.addLast(self[0]);
    rowsCurrent = false;
    rebalance();
    return outcome;
  }

  private boolean tryReserve(long tokens) {
    return allotment.tryReserve(tokens, scheduler.nowMillis(), clock.millis());
  }

  void settle(long tokens, long used) {
    allotment.settle(tokens, used);
  }

  /** Returns the free tokens to the table; completes when that is committed or has failed. */
  CompletableFuture<Void> close() {
    if (closeFuture == null) {
      closeFuture = new CompletableFuture<>();
      if (scheduler.nowMillis() < unusableUntilMillis) {
        closeFuture.complete(null);
      } else if (!callInProgress) {
        cancelRetry();
        rebalance();
      }
    }
    return closeFuture;
  }

  /** Draws tokens or returns surplus tokens as the demand requires. */
  void rebalance() {
    followEra();
    if (callInProgress || retryScheduled || scheduler.nowMillis() < unusableUntilMillis) {
      return;
    }
    if (!rowsKnown) {
      readBothRows();
      return;
    }
    if (isUndeclared) {
      replaceWith(toHolder(allotment.held()), 0);
      return;
    }
    if (isTakeoverPending() && !inherit()) {
      onFailure("the time of the store at the start of this process is not known yet");
      return;
    }
    long change = desiredChange();
    if (!mustDeclare(change)) {
      if (needsCeiling()) {
        renew();
      } else {
        onNothingToChange();
      }
    } else if (isContended() && scheduler.nowMillis() - rowsReadAtMillis > FRESH_MILLIS) {
      readTotal();
    } else if (rows.isConsistent()) {
      readAgain = false;
      transact(change);
    } else if (!readAgain) {
      // A late transaction may have taken effect between the reads of the two rows.
      readAgain = true;
      readBothRows();
    } else {
      onUnusableRows(rows.totalKey() + " has less than " + rows.holderKey());
    }
  }

  /**
   * Changes to the rows of the era of the store. What this daemon holds it goes on to hold, less
   * what writes without a known outcome may have taken away; they can't change the new rows.
   */
  private void followEra() {
    if (table.era() == rows.era()) {
      return;
    }
    rows = new AllotmentRows(account, host, table.era());
    cancelRetry();
    allotment.assumeWorst();
    pendingWrites.clear();
    isUndeclared = isOwner && !isFenced;
    rowsKnown = false;
    rowsCurrent = false;
    readAgain = false;
    conflicts = 0;
    unusableUntilMillis = Long.MIN_VALUE;
    log.record(
        "allotment_era",
        Map.of("account", account, "era", rows.era(), "held", isUndeclared ? allotment.held() : 0));
  }

  /**
   * Goes on from all rows of the account while nobody has written the row of the account since the
   * store was restored.
   */
  private void onAccountUntotalled(List<Row> found) {
    if (isUndeclared && rows.holderVersion() == 0) {
      AllotmentRows.HolderRow next = toHolder(allotment.held());
      renewWith(rows.declareOwn(next), next);
      return;
    }
    long remaining = eraBeganAtMillis.getAsLong() + declarationMillis() - scheduler.nowMillis();
    if (remaining > 0) {
      onFailure("other daemons may still declare what they hold", remaining);
      return;
    }
    try {
      RestoredHolders holders = RestoredHolders.of(account, rows, found, copies.all());
      if (holders.undeclared().isEmpty()) {
        rows.computeTotal(holders);
        onRowsUsable(RowSource.BOTH);
        rebalance();
      } else {
        callInProgress = true;
        log.record(
            "allotment_declared",
            Map.of("account", account, "hosts", holders.undeclared().keySet()));
        var unused =
            table.transact(rows.declareAll(holders.undeclared())).thenAccept(this::onHostsDeclared);
      }
    } catch (IOException e) {
      onUnusableRows(RowValue.shorten(e.getMessage(), RowValue.MAX_REASON_LENGTH));
    }
  }

  private void onHostsDeclared(WriteResult result) {
    callInProgress = false;
    if (result instanceof WriteResult.Committed || result instanceof WriteResult.Conflict) {
      rebalance();
    } else {
      onFailure(result.toString());
    }
  }

  /**
   * Returns the time in milliseconds that daemons have to declare what they hold. In a large fleet
   * their writes alone take longer.
   */
  private long declarationMillis() {
    return Math.max(MIN_DECLARATION_MILLIS, maxCeilingAgeMillis.getAsLong());
  }

  /** Returns the row that declares what this daemon holds. */
  private AllotmentRows.HolderRow toHolder(long drawn) {
    long now = scheduler.nowMillis();
    long wanted = allotment.wanted(now);
    return new AllotmentRows.HolderRow(
        incarnation,
        drawn,
        allotment.spent(),
        committed() + waitingTokens(),
        allotment.requests(),
        closeFuture == null ? wanted : 0,
        wanted,
        allotment.nextCeiling(waitingTokens(), now, clock.millis()));
  }

  /**
   * Returns whether the row of the account must be written too. All daemons write it, and only one
   * of several transactions at the same time succeeds, so changes without which no request waits
   * are collected.
   */
  private boolean mustDeclare(long change) {
    if (isFenced || !pendingWrites.isEmpty() || isTakeoverPending()) {
      return !pendingWrites.isEmpty() || !isFenced;
    }
    boolean isUrgent =
        !waiters.isEmpty()
            || closeFuture != null
            || change > allotment.free()
            || rows.total().drawn() > prepaid;
    if (isUrgent || (isLow() && !isContended())) {
      return change != 0 || (!isUrgent && needsCeiling());
    }
    long interval = isLow() ? lowRefreshIntervalMillis() : declarationIntervalMillis();
    long age = scheduler.nowMillis() - declaredAtMillis;
    boolean isUndeclared = committed() != rows.holder().committed();
    return change > 0 ? age >= interval : age >= 2 * interval && (change < 0 || isUndeclared);
  }

  private long declarationIntervalMillis() {
    return 2 * maxCeilingAgeMillis.getAsLong();
  }

  /** Returns whether the row of this host must be written although its tokens don't change. */
  private boolean needsCeiling() {
    return !isFenced
        && allotment.needsCeiling(
            waitingTokens(),
            maxCeilingAgeMillis.getAsLong(),
            scheduler.nowMillis(),
            clock.millis());
  }

  private boolean isTakeoverPending() {
    return !isOwner && rows.holder().drawn() > 0;
  }

  /**
   * Inherits the tokens that the previous incarnation can't have consumed.
   *
   * @return false if it is not known yet by which time of the store that incarnation had ended
   */
  private boolean inherit() {
    long endedAtMost = clock.firstCallMillis();
    if (endedAtMost == Long.MAX_VALUE) {
      return false;
    }
    AllotmentRows.HolderRow holder = rows.holder();
    allotment.inheritFrom(
        holder.spentAtMost(endedAtMost),
        holder.requests(),
        holder.forecast(),
        scheduler.nowMillis());
    return true;
  }

  private long desiredChange() {
    if (isFenced || isTakeoverPending()) {
      return 0;
    }
    if (closeFuture != null) {
      return -Math.max(0, allotment.free());
    }
    long wanted = allotment.wanted(scheduler.nowMillis());
    AllotmentRows.TotalRow total = rows.total();
    AllotmentShare.Account view =
        new AllotmentShare.Account(
            prepaid - total.drawn(),
            prepaid - committedByAll(),
            wanted,
            total.wanted() - rows.holder().wanted() + wanted,
            daemons.getAsInt());
    return AllotmentShare.change(view, allotment.meanSize(), allotment.free(), waitingTokens());
  }

  private long committed() {
    return allotment.spent() + allotment.reserved();
  }

  /** Returns the committed tokens that all hosts declared, with the current value for this host. */
  private long committedByAll() {
    return rows.total().committed() - rows.holder().committed() + committed();
  }

  private void onNothingToChange() {
    serveWaiters();
    if (waiters.isEmpty()) {
      completeClose();
      refreshTotal();
    } else if (rowsCurrent) {
      refuseUncoveredWaiters();
    } else {
      readBothRows();
    }
  }

  /**
   * Refuses all waiting requests; those that other daemons hold enough tokens for may be retried.
   */
  private void refuseUncoveredWaiters() {
    long heldElsewhere = tokensHeldElsewhere();
    while (!waiters.isEmpty()) {
      Waiter w = waiters.removeFirst();
      boolean isHeldElsewhere = heldElsewhere >= HELD_ELSEWHERE_FACTOR * w.tokens();
      complete(w, isHeldElsewhere ? new Outcome.HeldElsewhere() : new Outcome.Exhausted());
    }
  }

  private long tokensHeldElsewhere() {
    long heldByAll = rows.total().drawn() - rows.total().committed();
    return heldByAll - (rows.holder().drawn() - rows.holder().committed());
  }

  private boolean isLow() {
    return prepaid - committedByAll() < prepaid / LOW_BUDGET_DIVISOR;
  }

  private long lowRefreshIntervalMillis() {
    return Math.max(LOW_BUDGET_REFRESH_INTERVAL_MILLIS, maxCeilingAgeMillis.getAsLong());
  }

  private void refreshTotal() {
    long maxAge =
        isLow()
            ? lowRefreshIntervalMillis()
            : Math.max(REFRESH_INTERVAL_MILLIS, REFRESH_DECLARATIONS * declarationIntervalMillis());
    boolean isOld = scheduler.nowMillis() - rowsReadAtMillis >= maxAge && allotment.free() > 0;
    // After a failure, read regardless of age: only a response shows that the table is available.
    if (closeFuture != null || (failureReason.isEmpty() && !isOld)) {
      return;
    }
    readTotal();
  }

  /**
   * Returns whether other daemons probably have written the row of the account since it was read:
   * they preceded the last transaction of this daemon, or they are many.
   */
  private boolean isContended() {
    return conflicts > 0 || daemons.getAsInt() > MAX_UNCONTENDED_DAEMONS;
  }

  private void readTotal() {
    callInProgress = true;
    AllotmentRows asked = rows;
    var unused =
        table
            .read(List.of(rows.totalKey()))
            .thenAccept(
                r -> {
                  callInProgress = false;
                  if (isOutdated(asked)) {
                    rebalance();
                  } else if (r instanceof ReadResult.Rows total) {
                    applyRows(total.rows(), RowSource.TOTAL);
                  } else {
                    onFailure(r.toString());
                  }
                });
  }

  /** Returns the tokens of those waiting requests that the rest of the budget covers. */
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
   * Reads the row of the account before the row of the host. With this order, a late transaction
   * that takes effect between the two reads is visible in the second one.
   */
  private void readBothRows() {
    callInProgress = true;
    AllotmentRows asked = rows;
    var unused = table.read(List.of(rows.totalKey())).thenAccept(t -> onTotalRead(asked, t));
  }

  private void onTotalRead(AllotmentRows asked, ReadResult total) {
    if (isOutdated(asked) || !(total instanceof ReadResult.Rows t)) {
      onBothRead(asked, List.of(), total);
    } else if (t.rows().isEmpty() && rows.era() > 0) {
      String prefix = AllotmentRows.prefix(account);
      var unused =
          table
              .scan(prefix, "", MAX_SCANNED_ROWS)
              .thenAccept(all -> onBothRead(asked, List.of(), all));
    } else {
      var unused =
          table.read(List.of(rows.holderKey())).thenAccept(h -> onBothRead(asked, t.rows(), h));
    }
  }

  private void onBothRead(AllotmentRows asked, List<Row> total, ReadResult holder) {
    callInProgress = false;
    if (isOutdated(asked)) {
      rebalance();
    } else if (holder instanceof ReadResult.Rows h) {
      List<Row> found = new ArrayList<>(total);
      found.addAll(h.rows());
      applyRows(found, RowSource.BOTH);
    } else {
      onFailure(holder.toString());
    }
  }

  /** Returns whether rows belong to an earlier era, so that a result for them says nothing. */
  private boolean isOutdated(AllotmentRows asked) {
    followEra();
    return asked != rows;
  }

  /** Applies rows that were read and goes on, or waits if one of them can't be used. */
  private void applyRows(List<Row> found, RowSource source) {
    final boolean isConflict = source == RowSource.CONFLICT;
    AllotmentRows.Update update = rows.update(found);
    if (isConflict && rows.isTotalOfEraAbsent()) {
      // Another daemon has declared its row, so that the sums are outdated.
      rowsKnown = false;
      rebalance();
    } else if (update instanceof AllotmentRows.Update.Applied
        && source == RowSource.BOTH
        && rows.isTotalOfEraAbsent()) {
      onAccountUntotalled(found);
    } else if (update instanceof AllotmentRows.Update.Applied a && isConflict && !a.changed()) {
      // A row that was removed is missing from the conflict; trying again at once would not end.
      onUnusableRows("a conflict without a changed row");
    } else if (update instanceof AllotmentRows.Update.Applied) {
      onRowsUsable(source);
      if (isConflict && conflicts > 1) {
        retryAfter(conflictPauseMillis());
      } else {
        rebalance();
      }
    } else if (update instanceof AllotmentRows.Update.Unusable u) {
      onUnusableRows(u.reason());
    }
  }

  /**
   * Returns the pause before the next of several transactions that other daemons preceded. Without
   * different pauses, each round of many daemons has one that succeeds.
   */
  private long conflictPauseMillis() {
    long first = Math.max(MIN_CONFLICT_PAUSE_MILLIS, CONFLICT_PAUSE_CALLS * callMillis);
    long longest = Math.min(declarationIntervalMillis(), first << Math.min(conflicts - 2, 10));
    long spread = Objects.hash(incarnation, account, conflicts, scheduler.nowMillis());
    return 1 + Math.floorMod((spread * HASH_MULTIPLIER) >>> Integer.SIZE, longest);
  }

  /**
   * Draws nothing until the rows were read again and can be used. What was drawn before stays
   * usable under its ceilings: the rows of the store included it when it was drawn.
   */
  private void onUnusableRows(String reason) {
    rowsKnown = false;
    unusableUntilMillis = scheduler.nowMillis() + UNUSABLE_RETRY_MILLIS;
    if (!reason.equals(unusableReason)) {
      unusableReason = reason;
      log.record("allotment_unusable", Map.of("account", account, "reason", reason));
    }
    failureReason = "the rows of the budget can't be used";
    refuseWaiters(new Outcome.Unavailable(failureReason));
    if (closeFuture != null) {
      closeFuture.complete(null);
    } else {
      scheduler.schedule(UNUSABLE_RETRY_MILLIS, this::rebalance);
    }
  }

  private void onRowsUsable(RowSource source) {
    AllotmentRows.HolderRow holder = rows.holder();
    final boolean wasOwner = isOwner;
    if (!isUndeclared) {
      isOwner = holder.incarnation().equals(incarnation);
    }
    if (wasOwner && !isOwner) {
      onFenced(holder.incarnation());
    }
    // The row of the account alone does not show whether a write of this daemon changed it.
    if (source != RowSource.TOTAL) {
      pendingWrites.onVersions(rows.totalVersion(), rows.holderVersion());
      if (!isUndeclared) {
        resolve();
      }
    }
    rowsKnown = true;
    onRowsRead();
  }

  /** Another process of this host took over the row, so this process must not spend from it. */
  private void onFenced(String successor) {
    isFenced = true;
    log.record("allotment_fenced", Map.of("account", account, "successor", successor));
  }

  /**
   * Sets the held tokens from the row of this host, less what writes that are still pending may
   * take away. The row of a previous incarnation counts as none until it has been replaced.
   */
  private void resolve() {
    AllotmentRows.HolderRow holder = rows.holder();
    allotment.resolveChanges(
        isOwner ? holder.drawn() : 0, isOwner ? holder.ceiling() : SpendingCeiling.NONE);
    pendingWrites.beginChanges(allotment);
  }

  private void onRowsRead() {
    rowsCurrent = true;
    rowsReadAtMillis = scheduler.nowMillis();
    failureReason = "";
  }

  /**
   * Declares a new ceiling in the row of this host alone, which no other daemon writes. The totals
   * keep what this daemon has declared last.
   */
  private void renew() {
    long now = scheduler.nowMillis();
    AllotmentRows.HolderRow holder = rows.holder();
    AllotmentRows.HolderRow next =
        new AllotmentRows.HolderRow(
            incarnation,
            holder.drawn(),
            allotment.spent(),
            holder.committed(),
            allotment.requests(),
            holder.wanted(),
            allotment.wanted(now),
            allotment.nextCeiling(waitingTokens(), now, clock.millis()));
    renewWith(rows.renew(next), next);
  }

  private void renewWith(List<Mutation> changes, AllotmentRows.HolderRow next) {
    callInProgress = true;
    AllotmentRows asked = rows;
    PendingWrites.Write write = begin(PendingWrites.ANY_VERSION, 0, next.ceiling());
    var unused = table.transact(changes).thenAccept(w -> onRenewed(asked, w, write, next));
  }

  private PendingWrites.Write begin(long totalVersion, long change, SpendingCeiling ceiling) {
    PendingWrites.Write write =
        new PendingWrites.Write(totalVersion, rows.holderVersion(), change, ceiling);
    pendingWrites.add(write);
    allotment.beginChange(change, ceiling);
    transactionBeganAtMillis = scheduler.nowMillis();
    return write;
  }

  private void onRenewed(
      AllotmentRows asked,
      WriteResult result,
      PendingWrites.Write write,
      AllotmentRows.HolderRow next) {
    callInProgress = false;
    log(result, 0, next);
    if (isOutdated(asked)) {
      rebalance();
    } else if (result instanceof WriteResult.Committed c) {
      rows.onRenewed(next, c.versions().get(0));
      onOwnRowWritten();
      failureReason = "";
      serveWaiters();
      if (!rowsKnown || !waiters.isEmpty() || closeFuture != null) {
        rebalance();
      }
    } else {
      onNotWritten(result, write);
    }
  }

  private void transact(long change) {
    replaceWith(toHolder(rows.holder().drawn() + change), change);
  }

  /**
   * Replaces the row of this host and updates the sums of the account.
   *
   * @param change change of what this daemon holds
   */
  private void replaceWith(AllotmentRows.HolderRow next, long change) {
    callInProgress = true;
    AllotmentRows asked = rows;
    PendingWrites.Write write = begin(rows.totalVersion(), change, next.ceiling());
    var unused =
        table.transact(rows.replace(next)).thenAccept(w -> onWritten(asked, w, write, next));
  }

  private void onOwnRowWritten() {
    pendingWrites.clear();
    isOwner = true;
    isUndeclared = false;
    resolve();
    copies.publish(
        new HolderCopy(account, host, rows.era(), rows.holderVersion(), Json.write(rows.holder())));
  }

  private void onWritten(
      AllotmentRows asked,
      WriteResult result,
      PendingWrites.Write write,
      AllotmentRows.HolderRow next) {
    callInProgress = false;
    log(result, write.change(), next);
    if (isOutdated(asked)) {
      rebalance();
    } else if (result instanceof WriteResult.Committed c) {
      final boolean isTakenOver = isTakeoverPending();
      rows.onCommitted(next, c.versions());
      declaredAtMillis = scheduler.nowMillis();
      conflicts = conflicts > 1 ? 1 : 0;
      unusableReason = "";
      onOwnRowWritten();
      onRowsRead();
      serveWaiters();
      if (isTakenOver || !waiters.isEmpty() || closeFuture != null) {
        rebalance();
      }
    } else {
      onNotWritten(result, write);
    }
  }

  private void onNotWritten(WriteResult result, PendingWrites.Write write) {
    if (!(result instanceof WriteResult.Unknown)) {
      pendingWrites.remove(write);
    }
    if (result instanceof WriteResult.Conflict c) {
      conflicts++;
      callMillis = scheduler.nowMillis() - transactionBeganAtMillis;
      applyRows(c.rows(), RowSource.CONFLICT);
    } else {
      if (!isUndeclared) {
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
    if (isTakeoverPending()) {
      fields.put("before_spent", rows.holder().spent());
      fields.put(
          "ceiling_rise_ms", clock.firstCallMillis() - rows.holder().ceiling().sinceMillis());
    }
    fields.put("outcome", result.getClass().getSimpleName());
    log.record("allotment", fields);
  }

  private void onFailure(String reason) {
    onFailure(reason, RETRY_DELAY_MILLIS);
  }

  private void onFailure(String reason, long delayMillis) {
    failureReason = reason;
    refuseWaiters(new Outcome.Unavailable(reason));
    if (closeFuture != null) {
      closeFuture.complete(null);
      return;
    }
    retryAfter(delayMillis);
  }

  private void cancelRetry() {
    retry.cancel();
    retryScheduled = false;
  }

  private void retryAfter(long delayMillis) {
    retryScheduled = true;
    retry =
        scheduler.schedule(
            delayMillis,
            () -> {
              retryScheduled = false;
              rebalance();
            });
  }

  private void completeClose() {
    if (closeFuture != null) {
      closeFuture.complete(null);
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
