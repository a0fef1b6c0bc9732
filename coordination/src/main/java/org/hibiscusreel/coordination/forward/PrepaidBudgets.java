package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.forward.AccountTerms;

/**
 * Prepaid tokens of all client accounts, drawn by this daemon from the platform's table before they
 * are spent. Used only on the thread of the event loop.
 */
public final class PrepaidBudgets {

  /** Surplus is given back within a few seconds, so that other daemons find it. */
  public static final long REVIEW_INTERVAL_MILLIS = 2_000;

  /** Part of the store's writes that the reviews of all daemons may take. */
  public static final double REVIEW_WRITES_PART = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * A daemon that shares the budgets.
   *
   * @param host name of its host
   * @param incarnation this run of the daemon
   */
  public record Identity(String host, String incarnation) {}

  /** Outcome of a reservation. */
  public sealed interface Outcome {

    /** The tokens are reserved and must be settled. */
    record Reserved() implements Outcome {}

    /** The table confirmed just now that the budget does not cover the request. */
    record Exhausted() implements Outcome {}

    /** Other daemons hold enough for the request and may give it back soon. */
    record HeldElsewhere() implements Outcome {}

    /**
     * The table could not be asked.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements Outcome {}
  }

  private final TableService table;
  private final Scheduler scheduler;
  private final StoreClock clock;
  private final Identity identity;
  private final double writesPerSecond;
  private final IntSupplier daemons;
  private final DecisionLog log;
  private final Map<String, AccountBudget> budgets = new HashMap<>();
  private boolean stopped;

  /**
   * Creates the budgets.
   *
   * @param table the platform's table
   * @param scheduler time and delayed tasks
   * @param clock time of the store
   * @param identity this daemon
   * @param writesPerSecond writes that the store takes from all daemons together
   * @param daemons number of daemons that share the budgets
   * @param log receives each change of what is held
   * @throws NullPointerException if an argument is null
   */
  public PrepaidBudgets(
      TableService table,
      Scheduler scheduler,
      StoreClock clock,
      Identity identity,
      double writesPerSecond,
      IntSupplier daemons,
      DecisionLog log) {
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.identity = Objects.requireNonNull(identity, "identity");
    this.writesPerSecond = writesPerSecond;
    this.daemons = Objects.requireNonNull(daemons, "daemons");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Starts to review what is held. */
  public void start() {
    scheduler.schedule(REVIEW_INTERVAL_MILLIS, this::reviewAll);
  }

  /**
   * Gives back what is not needed. Reservations in progress must have been settled.
   *
   * @return completes when the table confirmed it or could not be asked
   */
  public CompletableFuture<Void> stop() {
    stopped = true;
    List<CompletableFuture<Void>> ends = new ArrayList<>();
    budgets.values().forEach(b -> ends.add(b.close()));
    return CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new));
  }

  /**
   * Takes what the configuration grants.
   *
   * @param accounts all client accounts
   */
  public void onAccounts(Iterable<AccountTerms> accounts) {
    accounts.forEach(
        a -> a.prepaidTokens().ifPresent(tokens -> budget(a.name()).onPrepaid(tokens)));
  }

  /**
   * Reserves tokens.
   *
   * @param account name of the client account
   * @param tokens most that the request can consume
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
                () -> reviewIntervalMillis() / 2,
                log));
  }

  private void reviewAll() {
    if (stopped) {
      return;
    }
    budgets.values().forEach(AccountBudget::review);
    scheduler.schedule(reviewIntervalMillis(), this::reviewAll);
  }

  /** Each review of an account may cost a write, so a large fleet reviews less often. */
  private long reviewIntervalMillis() {
    double writes = (double) budgets.size() * daemons.getAsInt();
    double seconds = writes / (REVIEW_WRITES_PART * writesPerSecond);
    return Math.max(REVIEW_INTERVAL_MILLIS, (long) (seconds * MILLIS_PER_SECOND));
  }
}
