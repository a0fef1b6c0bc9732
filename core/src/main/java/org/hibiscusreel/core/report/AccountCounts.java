package org.hibiscusreel.core.report;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of one client account on one day.
 *
 * @param served complete answers
 * @param late complete answers after their deadline
 * @param unknownOutcomes callers that were told that the outcome is unknown
 * @param refusals refused requests by code
 */
public record AccountCounts(
    Tally served, Tally late, Tally unknownOutcomes, Map<String, Tally> refusals) {

  /** Nothing counted. */
  public static final AccountCounts NONE =
      new AccountCounts(Tally.NONE, Tally.NONE, Tally.NONE, Map.of());

  /** Copies the map in the order of the codes. */
  public AccountCounts {
    refusals = Collections.unmodifiableMap(new TreeMap<>(refusals));
  }

  /**
   * Adds counters.
   *
   * @param other the other counters
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
   * Sums the refusals over all codes.
   *
   * @return the sum
   */
  public Tally refused() {
    return refusals.values().stream().reduce(Tally.NONE, Tally::plus);
  }
}
