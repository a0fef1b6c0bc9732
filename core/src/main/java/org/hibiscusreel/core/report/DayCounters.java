package org.hibiscusreel.core.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.hibiscusreel.core.request.ProblemCode;

/**
 * Counters of one daemon on one day. The numbers of client accounts and of budget refusals are
 * bounded.
 */
public final class DayCounters {

  /** Name under which all client accounts beyond the bound are counted. */
  public static final String OTHER_ACCOUNTS = "(other)";

  /** Default bound of client accounts, about twice the design scale of 970. */
  public static final int DEFAULT_MAX_ACCOUNTS = 2_000;

  /** Default bound of individually recorded budget refusals, which take about 1 MB. */
  public static final int DEFAULT_MAX_REFUSALS = 5_000;

  private final int maxAccounts;
  private final int maxRefusals;
  private final Map<String, AccountCounts> accounts = new TreeMap<>();
  private final List<BudgetRefusal> refusals = new ArrayList<>();
  private long droppedRefusals;
  private long alreadyBilled;
  private long changes;

  /** Creates counters with the default bounds. */
  public DayCounters() {
    this(DEFAULT_MAX_ACCOUNTS, DEFAULT_MAX_REFUSALS);
  }

  /**
   * Creates counters.
   *
   * @param maxAccounts largest number of client accounts that are counted individually, positive
   * @param maxRefusals largest number of budget refusals that are recorded individually
   * @throws IllegalArgumentException if a bound is out of range
   */
  public DayCounters(int maxAccounts, int maxRefusals) {
    if (maxAccounts < 1 || maxRefusals < 0) {
      throw new IllegalArgumentException(
          "maxAccounts must be positive and maxRefusals not negative, but are "
              + maxAccounts
              + " and "
              + maxRefusals);
    }
    this.maxAccounts = maxAccounts;
    this.maxRefusals = maxRefusals;
  }

  /**
   * Counts a complete response.
   *
   * @param account client account
   * @param worth worth of the request
   * @param lateMillis time past the deadline in milliseconds, 0 if in time
   */
  public void served(String account, double worth, long lateMillis) {
    Tally one = new Tally(1, worth);
    add(account, new AccountCounts(one, lateMillis > 0 ? one : Tally.NONE, Tally.NONE, Map.of()));
  }

  /**
   * Counts a refused request.
   *
   * @param account client account
   * @param code problem code that was sent to the caller
   * @param worth worth of the request
   */
  public void refused(String account, ProblemCode code, double worth) {
    Map<String, Tally> refused = Map.of(code.toField(), new Tally(1, worth));
    add(account, new AccountCounts(Tally.NONE, Tally.NONE, Tally.NONE, refused));
  }

  /**
   * Counts a request that was refused because of its budget.
   *
   * @param account client account
   * @param budget budget
   * @param code problem code that was sent to the caller
   * @param atMillis wall-clock time in milliseconds since the epoch
   * @param tokens tokens that the request would have consumed at most
   * @param worth worth of the request
   */
  public void budgetRefused(
      String account, String budget, ProblemCode code, long atMillis, long tokens, double worth) {
    refused(account, code, worth);
    if (refusals.size() < maxRefusals) {
      refusals.add(new BudgetRefusal(account, budget, code.toField(), atMillis, tokens, worth));
    } else {
      droppedRefusals++;
    }
  }

  /**
   * Counts a request whose caller was told that the outcome is unknown.
   *
   * @param account client account
   * @param worth worth of the request
   */
  public void unknownOutcome(String account, double worth) {
    add(account, new AccountCounts(Tally.NONE, Tally.NONE, new Tally(1, worth), Map.of()));
  }

  /** Counts a complete response whose bill had already been written by another attempt. */
  public void alreadyBilled() {
    alreadyBilled++;
    changes++;
  }

  /**
   * Returns the number of changes, which increases with each update.
   *
   * @return the number of changes
   */
  public long changes() {
    return changes;
  }

  /**
   * Returns a snapshot as a single part, regardless of its size.
   *
   * @param incarnation the incarnation
   * @param site its site
   * @param date the day
   * @param nowMillis wall-clock time in milliseconds since the epoch
   * @param pendingBills bills of the day that are not yet written to the platform's store
   * @return the snapshot
   */
  public DayRow snapshot(
      String incarnation, String site, String date, long nowMillis, long pendingBills) {
    return new DayRow(
        incarnation,
        site,
        date,
        0,
        1,
        nowMillis,
        pendingBills,
        alreadyBilled,
        droppedRefusals,
        accounts,
        refusals);
  }

  private void add(String account, AccountCounts counts) {
    Objects.requireNonNull(account, "account");
    boolean isIndividual = accounts.containsKey(account) || accounts.size() < maxAccounts;
    accounts.merge(isIndividual ? account : OTHER_ACCOUNTS, counts, AccountCounts::plus);
    changes++;
  }
}
