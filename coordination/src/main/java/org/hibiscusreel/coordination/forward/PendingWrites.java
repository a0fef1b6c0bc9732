package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.List;
import org.hibiscusreel.core.budget.AccountAllotment;
import org.hibiscusreel.core.budget.SpendingCeiling;

/**
 * Writes of one daemon for one client account that may still take effect, since no response to them
 * arrived. A write takes effect only while the rows that its condition names have the expected
 * versions, so a change of another row settles nothing.
 */
final class PendingWrites {

  /** Expected version of the row of the account in a write that does not name the row. */
  static final long ANY_VERSION = -1;

  /**
   * A write without a known outcome. Each write replaces the row of the host.
   *
   * @param totalVersion expected version of the row of the account, or {@link #ANY_VERSION}
   * @param holderVersion expected version of the row of the host
   * @param change tokens that it draws, negative if it returns them
   * @param ceiling ceiling that it declares
   */
  record Write(long totalVersion, long holderVersion, long change, SpendingCeiling ceiling) {}

  private final List<Write> writes = new ArrayList<>();

  boolean isEmpty() {
    return writes.isEmpty();
  }

  void add(Write write) {
    writes.add(write);
  }

  /** Removes a write whose outcome is known. */
  void remove(Write write) {
    writes.remove(write);
  }

  /** Removes all writes, after a later one that expected the same row of the host was performed. */
  void clear() {
    writes.clear();
  }

  /**
   * Settles the writes that can't take effect any more, or have taken effect, now that the versions
   * of both rows are known. The version of the row of the host must have been read after that of
   * the row of the account, or together with it: a write that changed both rows is visible in the
   * second one then.
   */
  void onVersions(long totalVersion, long holderVersion) {
    writes.removeIf(
        w ->
            w.holderVersion() != holderVersion
                || (w.totalVersion() != ANY_VERSION && w.totalVersion() != totalVersion));
  }

  /** Begins the changes of the writes that are left. */
  void beginChanges(AccountAllotment allotment) {
    writes.forEach(w -> allotment.beginChange(w.change(), w.ceiling()));
  }
}
