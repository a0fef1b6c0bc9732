package org.hibiscusreel.core.budget;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Ledger of the tokens that one holder has drawn from one budget. {@code drawn} is always at least
 * the sum of returned, withheld, spent and reserved tokens, unless a server reports more tokens
 * than it had reserved.
 */
public final class BudgetLedger {

  /** Time without a reservation request after which the holder holds no tokens in advance. */
  private static final long IDLE_MILLIS = 600_000;

  private final String budget;
  private final Map<String, OpenReservationEntry> open = new LinkedHashMap<>();
  private final DemandForecast forecast;
  private String account;
  private long drawn;
  private long returned;
  private long withheld;
  private long spent;
  private long reserved;
  private long worstCase;
  private long lastDemandAtMillis;

  /**
   * Creates an empty ledger.
   *
   * @param budget identifier of the budget
   * @param nowMillis monotonic time in milliseconds
   */
  public BudgetLedger(String budget, long nowMillis) {
    this.budget = Objects.requireNonNull(budget, "budget");
    this.forecast = new DemandForecast(nowMillis);
    this.account = "";
    this.lastDemandAtMillis = nowMillis;
  }

  /**
   * Restores a ledger that another holder handed over.
   *
   * @param entry the entry
   * @param nowMillis monotonic time in milliseconds
   * @return the ledger
   */
  public static BudgetLedger restore(HandOverEntry entry, long nowMillis) {
    BudgetLedger ledger = new BudgetLedger(entry.budget(), nowMillis);
    ledger.account = entry.account();
    ledger.drawn = entry.drawn();
    ledger.returned = entry.returned();
    ledger.spent = entry.spent();
    for (OpenReservationEntry e : entry.open()) {
      ledger.open.put(e.id(), e);
      ledger.reserved += e.tokens();
    }
    return ledger;
  }

  /**
   * Returns the entry to hand over. Tokens whose return is not confirmed count as returned.
   *
   * @return the entry
   */
  public HandOverEntry toHandOver() {
    return new HandOverEntry(
        budget, account, drawn, spent, returned + withheld, List.copyOf(open.values()));
  }

  /**
   * Returns the identifier of the budget.
   *
   * @return the identifier
   */
  public String budget() {
    return budget;
  }

  /**
   * Returns the client account that owns the budget.
   *
   * @return the account, empty until known
   */
  public String account() {
    return account;
  }

  /**
   * Sets the client account that owns the budget.
   *
   * @param account the account
   */
  public void setAccount(String account) {
    this.account = Objects.requireNonNull(account, "account");
  }

  /**
   * Returns the total tokens drawn.
   *
   * @return tokens
   */
  public long drawn() {
    return drawn;
  }

  /**
   * Returns the total tokens returned to the platform.
   *
   * @return tokens
   */
  public long returned() {
    return returned;
  }

  /**
   * Returns the tokens whose return to the platform is not confirmed yet.
   *
   * @return tokens
   */
  public long withheld() {
    return withheld;
  }

  /**
   * Returns the tokens of closed reservations.
   *
   * @return tokens
   */
  public long spent() {
    return spent;
  }

  /**
   * Returns the tokens that can be reserved.
   *
   * @return tokens; negative if a server used more than it had reserved
   */
  public long available() {
    return drawn - returned - withheld - spent - reserved;
  }

  /**
   * Returns the open reservations.
   *
   * @return an unmodifiable view, oldest first
   */
  public Collection<OpenReservationEntry> open() {
    return Collections.unmodifiableCollection(open.values());
  }

  /**
   * Returns an open reservation.
   *
   * @param id identifier of the reservation
   * @return the reservation, or null if it is not open
   */
  public OpenReservationEntry find(String id) {
    return open.get(id);
  }

  /**
   * Reserves tokens. A repeated call for an open reservation has no effect.
   *
   * @param entry the reservation
   * @param nowMillis monotonic time in milliseconds
   * @return false if the available tokens do not suffice
   */
  public boolean grant(OpenReservationEntry entry, long nowMillis) {
    if (open.containsKey(entry.id())) {
      return true;
    }
    noteDemand(entry.tokens(), nowMillis);
    if (entry.tokens() > available()) {
      return false;
    }
    open.put(entry.id(), entry);
    reserved += entry.tokens();
    return true;
  }

  /**
   * Records the size of a requested reservation.
   *
   * @param tokens requested tokens
   * @param nowMillis monotonic time in milliseconds
   */
  public void noteDemand(long tokens, long nowMillis) {
    worstCase = isIdle(nowMillis) ? tokens : Math.max(worstCase, tokens);
    lastDemandAtMillis = nowMillis;
  }

  /**
   * Reduces an open reservation to the tokens used.
   *
   * @param id identifier of the reservation
   * @param tokens tokens used; a value above those reserved has no effect
   */
  public void trim(String id, long tokens) {
    OpenReservationEntry e = open.get(id);
    if (e != null && tokens < e.tokens()) {
      reserved -= e.tokens() - tokens;
      open.put(id, new OpenReservationEntry(id, tokens, e.server(), e.requestId()));
    }
  }

  /**
   * Closes an open reservation.
   *
   * @param id identifier of the reservation
   * @param tokens tokens billed
   * @param nowMillis monotonic time in milliseconds
   * @return false if it was not open
   */
  public boolean close(String id, long tokens, long nowMillis) {
    OpenReservationEntry e = open.remove(id);
    if (e == null) {
      return false;
    }
    reserved -= e.tokens();
    spent += tokens;
    forecast.add(tokens, nowMillis);
    return true;
  }

  /**
   * Sets available tokens aside for their return to the platform.
   *
   * @param tokens requested number of tokens
   * @return number of tokens withheld, at most those available
   */
  public long withhold(long tokens) {
    long withheldNow = Math.max(0, Math.min(tokens, available()));
    withheld += withheldNow;
    return withheldNow;
  }

  /** Makes withheld tokens available again, after their return was definitely not applied. */
  public void cancelReturn() {
    withheld = 0;
  }

  /**
   * Adopts the row in the platform's store after a write of this holder is known to have taken
   * effect. No earlier write can take effect any more, because the version of the row has advanced.
   *
   * @param row the row
   */
  public void synchronize(AllotmentRow row) {
    drawn = row.drawn();
    returned = row.returned();
    withheld = 0;
  }

  /**
   * Adopts the row in the platform's store when it is first read after a hand-over. Returned tokens
   * that the row does not include yet stay withheld, because their return may still take effect.
   *
   * @param row the row
   */
  public void synchronizeAfterHandOver(AllotmentRow row) {
    long unconfirmed = Math.max(0, returned - row.returned());
    drawn = row.drawn();
    returned = row.returned();
    withheld = unconfirmed;
  }

  /**
   * Adopts the row of an allotment in the platform's store that this holder has removed from
   * memory. A holder removes an allotment only when no tokens are left, so all tokens not returned
   * count as spent.
   *
   * @param row the row
   */
  public void synchronizeAfterRemoval(AllotmentRow row) {
    synchronize(row);
    spent = row.drawn() - row.returned();
  }

  /**
   * Returns the target of the allotment.
   *
   * @param lean sizing policy of the budget
   * @param nowMillis monotonic time in milliseconds
   * @return the target in tokens
   */
  public long target(AllotmentPolicy lean, long nowMillis) {
    long worst = isIdle(nowMillis) ? 0 : worstCase;
    return AllotmentSizing.target(forecast.tokensPerMilli(nowMillis), lean, worst);
  }

  /**
   * Returns the tokens that are expected to be used within a duration, according to the forecast.
   *
   * @param durationMillis duration in milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @return tokens
   */
  public long expectedDemand(long durationMillis, long nowMillis) {
    return (long) Math.ceil(forecast.tokensPerMilli(nowMillis) * durationMillis);
  }

  /**
   * Tells whether no reservation was requested in the last ten minutes.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if the budget is idle
   */
  public boolean isIdle(long nowMillis) {
    return nowMillis - lastDemandAtMillis > IDLE_MILLIS;
  }
}
