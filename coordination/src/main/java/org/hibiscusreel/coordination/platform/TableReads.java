package org.hibiscusreel.coordination.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;

/** Helpers for reads of the table service. */
public final class TableReads {

  private static final int PAGE_ROWS = 100;

  private TableReads() {}

  /**
   * Returns the row with a key from a successful read.
   *
   * @param rows result of the read
   * @param key key of the row
   * @return the row, or empty if absent
   */
  public static Optional<Row> find(ReadResult.Rows rows, String key) {
    return rows.rows().stream().filter(r -> r.key().equals(key)).findFirst();
  }

  /**
   * Scans all rows of a prefix, page by page.
   *
   * @param table the table service
   * @param prefix prefix of the keys
   * @return all rows in key order, or empty if a page could not be read
   */
  public static CompletableFuture<Optional<List<Row>>> scanAll(TableService table, String prefix) {
    return scanFrom(table, prefix, "", new ArrayList<>());
  }

  private static CompletableFuture<Optional<List<Row>>> scanFrom(
      TableService table, String prefix, String after, List<Row> found) {
    return table
        .scan(prefix, after, PAGE_ROWS)
        .thenCompose(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              found.addAll(rows.rows());
              if (!rows.more() || rows.rows().isEmpty()) {
                return CompletableFuture.completedFuture(Optional.of(found));
              }
              String last = rows.rows().get(rows.rows().size() - 1).key();
              return scanFrom(table, prefix, last, found);
            });
  }
}
