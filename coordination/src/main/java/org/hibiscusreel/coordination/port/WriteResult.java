package org.hibiscusreel.coordination.port;

import java.util.List;

/** Outcome of a transaction at the table service. */
public sealed interface WriteResult {

  /**
   * The transaction took effect.
   *
   * @param versions new versions in the order of the mutations; 0 for deleted rows
   */
  record Committed(List<Long> versions) implements WriteResult {}

  /**
   * A condition did not hold; nothing was changed.
   *
   * @param rows current content of the rows whose condition did not hold; absent rows have version
   *     0
   */
  record Conflict(List<Row> rows) implements WriteResult {}

  /**
   * The transaction certainly did not take effect, for example because it was throttled.
   *
   * @param reason description of the failure
   */
  record NotApplied(String reason) implements WriteResult {}

  /**
   * The outcome is unknown; the transaction may have taken effect or may still do so.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements WriteResult {}
}
