package org.hibiscusreel.coordination.port;

import java.util.List;

/** Outcome of a read or scan at the table service. */
public sealed interface ReadResult {

  /**
   * The rows found; absent rows are left out.
   *
   * @param rows the rows in key order for a scan, in no particular order for a read
   * @param more whether a scan stopped at its limit with rows left
   */
  record Rows(List<Row> rows, boolean more) implements ReadResult {}

  /**
   * The read failed.
   *
   * @param reason description of the failure
   */
  record Failed(String reason) implements ReadResult {}
}
