package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.coordination.forward.AllotmentRows.HolderKey;
import org.hibiscusreel.coordination.forward.AllotmentRows.HolderRow;
import org.hibiscusreel.coordination.forward.AllotmentRows.TotalRow;
import org.hibiscusreel.coordination.port.Row;

/**
 * Rows of all hosts for one client account in an era of the store whose row of the account nobody
 * has written yet. A host without a row of this era has one of an earlier era in the copy from
 * which the store was restored, or in the memory of another daemon.
 *
 * @param total sums of the rows of this era
 * @param undeclared newest known row of each host without one of this era
 * @param untotalledVersion version of the row that changes with each declared row, 0 if absent
 */
record RestoredHolders(TotalRow total, Map<String, String> undeclared, long untotalledVersion) {

  /**
   * Sorts the rows of an account.
   *
   * @param account name of the client account
   * @param rows rows of this daemon, which name the era
   * @param found all rows of the account
   * @param copies rows that other daemons have told of
   * @throws IOException if the row of a host can't be used, so that its tokens are unknown
   */
  static RestoredHolders of(
      String account, AllotmentRows rows, List<Row> found, Collection<HolderCopy> copies)
      throws IOException {
    Map<String, HolderCopy> newest = new TreeMap<>();
    Map<String, Row> declared = new HashMap<>();
    long untotalledVersion = 0;
    for (Row r : found) {
      if (r.key().equals(rows.untotalledKey())) {
        untotalledVersion = r.version();
      }
      HolderKey key = HolderKey.parse(account, r.key()).orElse(null);
      if (key != null && key.era() == rows.era()) {
        declared.put(key.host(), r);
      } else if (key != null && key.era() < rows.era()) {
        add(newest, new HolderCopy(account, key.host(), key.era(), r.version(), r.value()));
      }
    }
    for (HolderCopy c : copies) {
      if (c.account().equals(account) && c.era() < rows.era()) {
        add(newest, c);
      }
    }
    newest.keySet().removeAll(declared.keySet());
    Map<String, String> undeclared = new TreeMap<>();
    for (HolderCopy c : newest.values()) {
      AllotmentRows.parseHolder(new Row(c.host(), 1, c.row()));
      undeclared.put(c.host(), c.row());
    }
    TotalRow total = TotalRow.EMPTY;
    for (Row r : declared.values()) {
      total = total.with(HolderRow.EMPTY, AllotmentRows.parseHolder(r));
    }
    return new RestoredHolders(total, undeclared, untotalledVersion);
  }

  private static void add(Map<String, HolderCopy> newest, HolderCopy copy) {
    newest.merge(copy.host(), copy, (a, b) -> b.isNewerThan(a) ? b : a);
  }
}
