package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.forward.AccountSettings;

/**
 * Prepaid tokens of all client accounts, which this daemon draws from the platform's table before
 * they are spent. Used only on the event loop thread.
 */
public final class PrepaidBudgets {

  /**
   * Shortest interval in milliseconds at which the budgets are rebalanced. Surplus tokens are
   * returned within a few seconds, so that other daemons can draw them.
   */
  public static final long REBALANCE_INTERVAL_MILLIS = 2_000;

  /** Fraction of the store's write rate that rebalancing may use over all daemons. */
  public static final double REBALANCE_WRITE_FRACTION = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Identity of a daemon that shares the budgets.
   *
   * @param host name of its host
   * @param incarnation incarnation of the daemon
   */
  public record Identity(String host, String incarnation) {}

  /** Outcome of a reservation. */
  public sealed interface Outcome {

    /** The tokens are reserved; {@link PrepaidBudgets#settle} must end the reservation. */
    record Reserved() implements Outcome {}

    /** The current rows of the table show that the budget does not cover the request. */
    record Exhausted() implements Outcome {}

    /** Other daemons hold enough tokens for the request and may return them soon. */
    record HeldElsewhere() implements Outcome {}

    /**
     * The table is unavailable.
     *
     * @param reason description of the failure
     */
    record Unavailable(String reason) implements Outcome {}
  }

  private final TableService table;
  private final Scheduler scheduler;
  private final StoreClock clock;
  private final Identity identity;
  private final double writesPerSecond;
  private final IntSupplier daemons;
  private final HolderCopies copies;
  private final DecisionLog log;
  private final Map<String, AccountBudget> budgets = new HashMap<>();
  private long era;
  private long eraBeganAtMillis;
  private boolean stopped;

  /**
   * Creates the budgets.
   *
   * @param table the platform's table
   * @param scheduler clock and delayed tasks
   * @param clock clock of the store
   * @param identity identity of this daemon
   * @param writesPerSecond write rate that the store accepts from all daemons together
   * @param daemons number of daemons that share the budgets
   * @param copies rows that other daemons keep for this one, and this one for them
   * @param log receives each change of the held tokens
   * @throws NullPointerException if an argument is null
   */
  public PrepaidBudgets(
      TableService table,
      Scheduler scheduler,
      StoreClock clock,
      Identity identity,
      double writesPerSecond,
      IntSupplier daemons,
      HolderCopies copies,
      DecisionLog log) {
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.identity = Objects.requireNonNull(identity, "identity");
    this.writesPerSecond = writesPerSecond;
    this.daemons = Objects.requireNonNull(daemons, "daemons");
    this.copies = Objects.requireNonNull(copies, "copies");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Starts to rebalance the held tokens periodically. */
  public void start() {
    copies.start();
    scheduler.schedule(REBALANCE_INTERVAL_MILLIS, this::rebalanceAll);
  }

  /**
   * Stops rebalancing and returns the unused tokens to the table. All reservations must have been
   * settled before.
   *
   * @return completes when the tokens were returned or the table is unavailable
   */
  public CompletableFuture<Void> stop() {
    stopped = true;
    List<CompletableFuture<Void>> ends = new ArrayList<>();
    budgets.values().forEach(b -> ends.add(b.close()));
    return CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new));
  }

  /**
   * Sets the prepaid tokens that the configuration grants.
   *
   * @param accounts all client accounts
   */
  public void updateAccounts(Iterable<AccountSettings> accounts) {
    followEra();
    accounts.forEach(
        a -> a.prepaidTokens().ifPresent(tokens -> budget(a.name()).setPrepaidTokens(tokens)));
  }

  /**
   * Reserves tokens.
   *
   * @param account name of the client account
   * @param tokens largest number of tokens that the request can consume
   * @param timeoutMillis longest time to wait for the table, in milliseconds
   * @return the outcome; completes on the event loop and never exceptionally
   */
  public CompletableFuture<Outcome> reserve(String account, long tokens, long timeoutMillis) {
    return budget(account).reserve(tokens, timeoutMillis);
  }

  /**
   * Ends a reservation.
   *
   * @param account name of the client account
   * @param tokens tokens that were reserved
   * @param used tokens that were consumed
   */
  public void settle(String account, long tokens, long used) {
    budget(account).settle(tokens, used);
  }

  /** Declares what this daemon holds, after the store was restored from an older copy. */
  public void onStoreRestored() {
    followEra();
    budgets.values().forEach(AccountBudget::rebalance);
  }

  private long eraBeganAtMillis() {
    followEra();
    return eraBeganAtMillis;
  }

  private void followEra() {
    if (era == table.era()) {
      return;
    }
    // A daemon that has just started has no copies yet, so that others go first.
    final long startMillis = era == 0 ? AccountBudget.MIN_DECLARATION_MILLIS : 0;
    era = table.era();
    eraBeganAtMillis = scheduler.nowMillis() + startMillis;
    final long restored = era;
    long delayMillis =
        Math.max(AccountBudget.MIN_DECLARATION_MILLIS, rebalanceIntervalMillis() / 2) / 2;
    scheduler.schedule(delayMillis, () -> declareOthers(restored));
  }

  /**
   * Declares the rows of other hosts that this daemon keeps. The daemons that have written them
   * have done so before, unless they have ended or don't reach the store.
   */
  private void declareOthers(long restored) {
    if (stopped || restored != table.era()) {
      return;
    }
    for (HolderCopy c : copies.all()) {
      if (c.era() < restored) {
        log.record(
            "allotment_declared", Map.of("account", c.account(), "hosts", List.of(c.host())));
        var unused =
            table
                .transact(AllotmentRows.declareFor(c, restored))
                .thenAccept(w -> onDeclared(c, restored, w));
      }
    }
  }

  private void onDeclared(HolderCopy copy, long restored, WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict && restored == table.era()) {
      Optional<List<Mutation>> newer = AllotmentRows.redeclareFor(copy, restored, conflict.rows());
      if (newer.isPresent()) {
        var unused = table.transact(newer.get());
      }
    }
  }

  private AccountBudget budget(String account) {
    return budgets.computeIfAbsent(
        account,
        a ->
            new AccountBudget(
                a,
                identity.host(),
                identity.incarnation(),
                table,
                scheduler,
                clock,
                daemons,
                () -> rebalanceIntervalMillis() / 2,
                this::eraBeganAtMillis,
                copies,
                log));
  }

  private void rebalanceAll() {
    if (stopped) {
      return;
    }
    followEra();
    budgets.values().forEach(AccountBudget::rebalance);
    scheduler.schedule(rebalanceIntervalMillis(), this::rebalanceAll);
  }

  /**
   * Returns the rebalancing interval. Rebalancing an account may cost a write, so the interval
   * grows with the number of daemons and accounts.
   */
  private long rebalanceIntervalMillis() {
    double writes = (double) budgets.size() * daemons.getAsInt();
    double seconds = writes / (REBALANCE_WRITE_FRACTION * writesPerSecond);
    return Math.max(REBALANCE_INTERVAL_MILLIS, (long) (seconds * MILLIS_PER_SECOND));
  }
}
