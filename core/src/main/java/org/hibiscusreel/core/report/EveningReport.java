package org.hibiscusreel.core.report;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Report on one day.
 *
 * @param date the day in UTC
 * @param madeAtMillis wall-clock time at which the rows were read, in milliseconds since the epoch
 * @param verdict whether the day met its guarantees
 * @param unknownBecause reasons for missing figures, one line for each incarnation
 * @param overspend tokens billed in excess of the granted tokens
 * @param falseRefusals requests refused although their budget was sufficient
 * @param billedTwice requests billed twice
 * @param notBilled requests served but not billed
 * @param late responses completed after their deadline
 * @param unknownOutcomes requests whose callers were told that the outcome is unknown
 * @param refusals refusals by code
 * @param accounts breakdown by client account
 * @param sites breakdown by site
 */
public record EveningReport(
    String date,
    long madeAtMillis,
    Verdict verdict,
    List<String> unknownBecause,
    Figure overspend,
    Figure falseRefusals,
    Figure billedTwice,
    Figure notBilled,
    Figure late,
    Figure unknownOutcomes,
    Map<String, Tally> refusals,
    List<BreakdownLine> accounts,
    List<BreakdownLine> sites) {

  /** Copies the collections. */
  public EveningReport {
    unknownBecause = List.copyOf(unknownBecause);
    refusals = Collections.unmodifiableMap(new TreeMap<>(refusals));
    accounts = List.copyOf(accounts);
    sites = List.copyOf(sites);
  }

  /**
   * Returns the figures in display order.
   *
   * @return the figures
   */
  public List<Figure> figures() {
    return List.of(overspend, falseRefusals, billedTwice, notBilled, late, unknownOutcomes);
  }
}
