package org.hibiscusreel.core.report;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of one client account on one day.
 *
 * @param served complete responses
 * @param late responses completed after their deadline
 * @param unknownOutcomes requests whose callers were told that the outcome is unknown
 * @param refusals refused requests by code
 */
public record AccountCounts(
    Tally served, Tally late, Tally unknownOutcomes, Map<String, Tally> refusals) {

  /** Counters at zero. */
  public static final AccountCounts NONE =
      new AccountCounts(Tally.NONE, Tally.NONE, Tally.NONE, Map.of());

  /** Copies the map, sorted by code. */
  public AccountCounts {
    refusals = Collections.unmodifiableMap(new TreeMap<>(refusals));
  }

  /**
   * Adds counters.
   *
   * @param other counters to add
   * @return the sums
   */
  public AccountCounts plus(AccountCounts other) {
    Map<String, Tally> sums = new TreeMap<>(refusals);
    other.refusals.forEach((code, tally) -> sums.merge(code, tally, Tally::plus));
    return new AccountCounts(
        served.plus(other.served),
        late.plus(other.late),
        unknownOutcomes.plus(other.unknownOutcomes),
        sums);
  }

  /**
   * Returns the sum of the refusals over all codes.
   *
   * @return the sum
   */
  public Tally refused() {
    return refusals.values().stream().reduce(Tally.NONE, Tally::plus);
  }
}
