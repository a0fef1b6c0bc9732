package org.hibiscusreel.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/** Determines the incarnations whose counters of a day are missing or incomplete. */
final class Completeness {

  /** Age after which the counters of a live incarnation count as missing, in milliseconds. */
  static final long MAX_AGE_MILLIS = 120_000;

  private final ReportInput input;
  private final Map<String, List<DayRow>> rows = new HashMap<>();
  private final TreeSet<String> unknownSites = new TreeSet<>();
  private final List<String> reasons = new ArrayList<>();

  Completeness(ReportInput input) {
    this.input = input;
    for (DayRow row : input.days()) {
      rows.computeIfAbsent(row.incarnation(), key -> new ArrayList<>()).add(row);
    }
    new TreeMap<>(input.incarnations()).forEach(this::check);
  }

  List<String> unknownSites() {
    return List.copyOf(unknownSites);
  }

  /** Returns one line of explanation for each incarnation with missing counters. */
  List<String> reasons() {
    return List.copyOf(reasons);
  }

  private void check(String incarnation, IncarnationRow row) {
    if (row.startedAtMillis() >= input.endMillis()) {
      return;
    }
    if (row.state() == IncarnationState.DEAD) {
      add(incarnation, row, "is dead and its bills are not recovered");
    } else if (row.state() == IncarnationState.LIVE) {
      long requiredMillis = Math.min(input.nowMillis() - MAX_AGE_MILLIS, input.endMillis());
      long writtenAtMillis = writtenAtMillis(incarnation);
      if (writtenAtMillis < requiredMillis && row.startedAtMillis() < requiredMillis) {
        add(
            incarnation,
            row,
            writtenAtMillis == 0
                ? "is live but has no counters"
                : "is live but its counters are older than needed");
      }
    }
  }

  /**
   * Returns the wall-clock time of the counters in milliseconds, or 0 if there are none or a part
   * is missing.
   */
  private long writtenAtMillis(String incarnation) {
    List<DayRow> parts = rows.getOrDefault(incarnation, List.of());
    if (parts.isEmpty()) {
      return 0;
    }
    DayRow first = parts.get(0);
    boolean isComplete =
        parts.size() == first.parts()
            && parts.stream().allMatch(p -> p.writtenAtMillis() == first.writtenAtMillis());
    return isComplete ? first.writtenAtMillis() : 0;
  }

  private void add(String incarnation, IncarnationRow row, String reason) {
    unknownSites.add(row.site());
    reasons.add(row.site() + ": " + incarnation + " " + reason);
  }
}
