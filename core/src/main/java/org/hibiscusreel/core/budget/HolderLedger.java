package org.hibiscusreel.core.budget;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Allotments of one holder with their reservations. The caller supplies the current time. Not
 * thread-safe.
 */
public final class HolderLedger {

  /** Outcome of {@link #grant}. */
  public enum GrantResult {
    /** The reservation is open. */
    GRANTED,
    /** The available tokens do not suffice. */
    INSUFFICIENT,
    /** The reservation was closed before and stays closed. */
    CLOSED
  }

  /**
   * Time for which closed reservations are remembered, in milliseconds. It is far longer than the
   * timeout of a call, so a delayed reserve request can't reopen a reservation that its server
   * settled with 0 tokens.
   */
  private static final long CLOSED_RETENTION_MILLIS = 600_000;

  private final String holder;
  private final Map<String, BudgetLedger> budgets = new LinkedHashMap<>();
  private final Map<String, String> budgetByReservation = new HashMap<>();
  private final Map<String, Long> closedAtMillis = new LinkedHashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param holder incarnation that the allotments belong to
   */
  public HolderLedger(String holder) {
    this.holder = Objects.requireNonNull(holder, "holder");
  }

  /**
   * Restores a ledger that another holder handed over.
   *
   * @param holder incarnation that the allotments belong to
   * @param entries its budgets
   * @param nowMillis monotonic time in milliseconds
   * @return the ledger
   */
  public static HolderLedger restore(String holder, List<HandOverEntry> entries, long nowMillis) {
    HolderLedger ledger = new HolderLedger(holder);
    for (HandOverEntry e : entries) {
      ledger.budgets.put(e.budget(), BudgetLedger.restore(e, nowMillis));
      for (OpenReservationEntry r : e.open()) {
        ledger.budgetByReservation.put(r.id(), e.budget());
      }
    }
    return ledger;
  }

  /**
   * Returns the entries to hand over.
   *
   * @return one entry for each budget
   */
  public List<HandOverEntry> toHandOver() {
    List<HandOverEntry> entries = new ArrayList<>();
    budgets.values().forEach(b -> entries.add(b.toHandOver()));
    return entries;
  }

  /**
   * Returns the incarnation of the holder.
   *
   * @return the incarnation
   */
  public String holder() {
    return holder;
  }

  /**
   * Returns the ledgers of all budgets.
   *
   * @return an unmodifiable view
   */
  public Collection<BudgetLedger> budgets() {
    return Collections.unmodifiableCollection(budgets.values());
  }

  /**
   * Returns the ledger of a budget, which is created if absent.
   *
   * @param budget identifier of the budget
   * @param nowMillis monotonic time in milliseconds
   * @return the ledger
   */
  public BudgetLedger budget(String budget, long nowMillis) {
    return budgets.computeIfAbsent(budget, b -> new BudgetLedger(b, nowMillis));
  }

  /**
   * Returns the ledger of a budget.
   *
   * @param budget identifier of the budget
   * @return the ledger, or empty if the holder has none
   */
  public Optional<BudgetLedger> find(String budget) {
    return Optional.ofNullable(budgets.get(budget));
  }

  /**
   * Removes a budget without open reservations or unconfirmed returns.
   *
   * @param budget identifier of the budget
   * @throws IllegalStateException if reservations or returns are open
   */
  public void remove(String budget) {
    BudgetLedger ledger = budgets.get(budget);
    if (ledger != null && (!ledger.open().isEmpty() || ledger.withheld() != 0)) {
      throw new IllegalStateException("reservations or returns of " + budget + " are open");
    }
    budgets.remove(budget);
  }

  /**
   * Reserves tokens. A repeated call returns the same outcome.
   *
   * @param budget identifier of the budget
   * @param entry the reservation
   * @param nowMillis monotonic time in milliseconds
   * @return the outcome
   */
  public GrantResult grant(String budget, OpenReservationEntry entry, long nowMillis) {
    if (isClosed(entry.id())) {
      return GrantResult.CLOSED;
    }
    if (!budget(budget, nowMillis).grant(entry, nowMillis)) {
      return GrantResult.INSUFFICIENT;
    }
    budgetByReservation.put(entry.id(), budget);
    return GrantResult.GRANTED;
  }

  /**
   * Tells whether a reservation is open.
   *
   * @param id identifier of the reservation
   * @return true if open
   */
  public boolean isOpen(String id) {
    return budgetByReservation.containsKey(id);
  }

  /**
   * Tells whether a reservation is known to be closed.
   *
   * @param id identifier of the reservation
   * @return true if closed in the last ten minutes
   */
  public boolean isClosed(String id) {
    return closedAtMillis.containsKey(id);
  }

  /**
   * Tells whether any reservation is open.
   *
   * @return true if at least one is open
   */
  public boolean hasOpen() {
    return !budgetByReservation.isEmpty();
  }

  /**
   * Reduces an open reservation to the tokens used. Has no effect if the reservation is not open.
   *
   * @param id identifier of the reservation
   * @param tokens tokens used
   */
  public void trim(String id, long tokens) {
    String budget = budgetByReservation.get(id);
    if (budget != null) {
      budgets.get(budget).trim(id, tokens);
    }
  }

  /**
   * Closes a reservation. One that is not open yet can't be opened afterwards.
   *
   * @param id identifier of the reservation
   * @param tokens tokens billed
   * @param nowMillis monotonic time in milliseconds
   * @return false if it was not open
   */
  public boolean close(String id, long tokens, long nowMillis) {
    recordClosed(id, nowMillis);
    String budget = budgetByReservation.remove(id);
    return budget != null && budgets.get(budget).close(id, tokens, nowMillis);
  }

  private void recordClosed(String id, long nowMillis) {
    closedAtMillis.putIfAbsent(id, nowMillis);
    Iterator<Long> times = closedAtMillis.values().iterator();
    while (times.hasNext() && nowMillis - times.next() > CLOSED_RETENTION_MILLIS) {
      times.remove();
    }
  }
}
