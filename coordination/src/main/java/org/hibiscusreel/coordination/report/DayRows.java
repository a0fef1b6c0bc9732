package org.hibiscusreel.coordination.report;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.core.report.AccountCounts;
import org.hibiscusreel.core.report.BudgetRefusal;
import org.hibiscusreel.core.report.DayRow;

/**
 * Splits the counters of a day into rows that do not exceed the size limit of the table service.
 */
public final class DayRows {

  /**
   * Largest size of a part in bytes; leaves space for the other fields within the 64 KiB of a row.
   */
  static final int MAX_CONTENT_BYTES = 60_000;

  private DayRows() {}

  /**
   * Returns the key of a part.
   *
   * @param row the part
   * @return the key; the first part has the key of the incarnation without a suffix
   */
  public static String key(DayRow row) {
    String incarnation = row.part() == 0 ? row.incarnation() : row.incarnation() + "~" + row.part();
    return TableKeys.day(row.date(), incarnation);
  }

  /**
   * Splits a snapshot.
   *
   * @param snapshot a snapshot of any size
   * @return parts in order, at least one, each at most 64 KiB as JSON
   */
  public static List<DayRow> split(DayRow snapshot) {
    List<Map<String, AccountCounts>> accounts = new ArrayList<>(List.of(new TreeMap<>()));
    List<List<BudgetRefusal>> refusals = new ArrayList<>(List.of(new ArrayList<>()));
    int size = 0;
    for (Map.Entry<String, AccountCounts> entry : snapshot.accounts().entrySet()) {
      int bytes = bytes(entry.getKey()) + bytes(entry.getValue());
      size = startPart(size, bytes, accounts, refusals);
      accounts.get(accounts.size() - 1).put(entry.getKey(), entry.getValue());
    }
    for (BudgetRefusal refusal : snapshot.budgetRefusals()) {
      size = startPart(size, bytes(refusal), accounts, refusals);
      refusals.get(refusals.size() - 1).add(refusal);
    }
    List<DayRow> parts = new ArrayList<>();
    for (int i = 0; i < accounts.size(); i++) {
      parts.add(part(snapshot, i, accounts.get(i), refusals.get(i), accounts.size()));
    }
    return parts;
  }

  /**
   * Starts a new part if an item does not fit, and returns the size of the last part including the
   * item.
   */
  private static int startPart(
      int size,
      int bytes,
      List<Map<String, AccountCounts>> accounts,
      List<List<BudgetRefusal>> refusals) {
    if (size + bytes <= MAX_CONTENT_BYTES) {
      return size + bytes;
    }
    accounts.add(new TreeMap<>());
    refusals.add(new ArrayList<>());
    return bytes;
  }

  private static DayRow part(
      DayRow all,
      int number,
      Map<String, AccountCounts> accounts,
      List<BudgetRefusal> refusals,
      int parts) {
    boolean first = number == 0;
    return new DayRow(
        all.incarnation(),
        all.site(),
        all.date(),
        number,
        parts,
        all.writtenAtMillis(),
        first ? all.pendingBills() : 0,
        first ? all.alreadyBilled() : 0,
        first ? all.droppedRefusals() : 0,
        accounts,
        refusals);
  }

  /** Returns the size of a value in bytes, including the separators around it. */
  private static int bytes(Object value) {
    return Json.write(value).getBytes(StandardCharsets.UTF_8).length + 2;
  }
}
