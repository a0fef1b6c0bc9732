package org.hibiscusreel.coordination.forward;

import java.util.List;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.budget.SpendingCeiling;

/**
 * Last known content of the two rows that a daemon writes for one client account: the row of the
 * account with the totals of all hosts, and the row of this host. Both are replaced in one
 * transaction that expects both versions, so the totals always match the rows of the hosts.
 */
final class AllotmentRows {

  private static final String TABLE = "allotment/";
  private static final String TOTAL = "/total";
  private static final String HOST = "/host.";

  /**
   * Row of the account.
   *
   * @param drawn tokens drawn by all hosts
   * @param committed tokens consumed or reserved on all hosts, as last declared
   * @param wanted sum of the target holdings of all hosts, in tokens, as last declared
   */
  record TotalRow(long drawn, long committed, long wanted) {

    static final TotalRow EMPTY = new TotalRow(0, 0, 0);

    TotalRow with(HolderRow before, HolderRow after) {
      return new TotalRow(
          drawn + after.drawn() - before.drawn(),
          committed + after.committed() - before.committed(),
          wanted + after.wanted() - before.wanted());
    }
  }

  /**
   * Row of one host.
   *
   * @param incarnation incarnation of the daemon that wrote the row
   * @param drawn tokens drawn by the host
   * @param spent drawn tokens that were consumed
   * @param committed drawn tokens that were consumed or are reserved
   * @param requests number of billed requests
   * @param wanted target holding in tokens, 0 once the daemon has stopped
   * @param forecast initial target holding of the next incarnation, in tokens
   * @param ceiling upper bound on the tokens that this incarnation consumes over time
   */
  record HolderRow(
      String incarnation,
      long drawn,
      long spent,
      long committed,
      long requests,
      long wanted,
      long forecast,
      SpendingCeiling ceiling) {

    static final HolderRow EMPTY = new HolderRow("", 0, 0, 0, 0, 0, 0, SpendingCeiling.NONE);

    /**
     * Returns the most tokens that the incarnation can have consumed if it had ended by a store
     * time.
     */
    long spentAtMost(long storeMillis) {
      return Math.min(drawn, Math.max(spent, ceiling.at(storeMillis)));
    }
  }

  private final String totalKey;
  private final String holderKey;
  private TotalRow total = TotalRow.EMPTY;
  private HolderRow holder = HolderRow.EMPTY;
  private long totalVersion;
  private long holderVersion;

  AllotmentRows(String account, String host) {
    this.totalKey = TABLE + account + TOTAL;
    this.holderKey = TABLE + account + HOST + host;
  }

  String totalKey() {
    return totalKey;
  }

  String holderKey() {
    return holderKey;
  }

  TotalRow total() {
    return total;
  }

  HolderRow holder() {
    return holder;
  }

  /**
   * Updates the known content from rows read from the store; a row that is not given is unchanged.
   *
   * @return true if a version differs from the one known before
   */
  boolean update(List<Row> rows) {
    boolean changed = false;
    for (Row row : rows) {
      boolean exists = row.version() != 0;
      if (row.key().equals(totalKey)) {
        changed |= row.version() != totalVersion;
        totalVersion = row.version();
        total = exists ? Json.read(row.value(), TotalRow.class) : TotalRow.EMPTY;
      } else if (row.key().equals(holderKey)) {
        changed |= row.version() != holderVersion;
        holderVersion = row.version();
        holder = exists ? Json.read(row.value(), HolderRow.class) : HolderRow.EMPTY;
      }
    }
    return changed;
  }

  /** Returns the transaction that replaces the row of this host. */
  List<Mutation> replace(HolderRow next) {
    return List.of(
        Mutation.replace(totalKey, totalVersion, Json.write(total.with(holder, next))),
        Mutation.replace(holderKey, holderVersion, Json.write(next)));
  }

  /** Updates the known content after the transaction was committed. */
  void onCommitted(HolderRow next, List<Long> versions) {
    total = total.with(holder, next);
    holder = next;
    totalVersion = versions.get(0);
    holderVersion = versions.get(1);
  }
}
