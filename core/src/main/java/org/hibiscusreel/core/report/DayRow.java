package org.hibiscusreel.core.report;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Row with one part of the counters of an incarnation on a day. Counters that exceed the size limit
 * of a row are split into several parts.
 *
 * @param incarnation the incarnation
 * @param site site of its host
 * @param date the day in UTC, for example {@code 2026-12-04}
 * @param part index of the part, from 0
 * @param parts number of parts that were written together
 * @param writtenAtMillis wall-clock time of the snapshot in milliseconds since the epoch, equal in
 *     all parts
 * @param pendingBills bills of the day that were not yet written to the platform's store; 0 in all
 *     parts except the first
 * @param alreadyBilled complete responses whose bill had already been written by another attempt; 0
 *     in all parts except the first
 * @param droppedRefusals budget refusals beyond the bound; 0 in all parts except the first
 * @param accounts counters by client account
 * @param budgetRefusals refusals because of a budget, oldest first
 */
public record DayRow(
    String incarnation,
    String site,
    String date,
    int part,
    int parts,
    long writtenAtMillis,
    long pendingBills,
    long alreadyBilled,
    long droppedRefusals,
    Map<String, AccountCounts> accounts,
    List<BudgetRefusal> budgetRefusals) {

  /** Copies the collections. */
  public DayRow {
    accounts = Collections.unmodifiableMap(new TreeMap<>(accounts));
    budgetRefusals = List.copyOf(budgetRefusals);
  }
}
