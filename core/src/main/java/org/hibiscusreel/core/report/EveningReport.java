package org.hibiscusreel.core.report;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The report of one day.
 *
 * @param date the day in UTC
 * @param madeAtMillis time of the reads in milliseconds since the epoch
 * @param verdict whether the day met its guarantees
 * @param unknownBecause why figures are missing, one line for each incarnation
 * @param overspend tokens billed beyond what was granted
 * @param falseRefusals requests refused although their budget sufficed
 * @param billedTwice requests billed twice
 * @param notBilled requests served but not billed
 * @param late complete answers after their deadline
 * @param unknownOutcomes callers that were told that the outcome is unknown
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
   * Returns the figures in the order of the page.
   *
   * @return the figures
   */
  public List<Figure> figures() {
    return List.of(overspend, falseRefusals, billedTwice, notBilled, late, unknownOutcomes);
  }
}
