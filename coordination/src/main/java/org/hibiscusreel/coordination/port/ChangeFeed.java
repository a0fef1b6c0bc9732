package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Changes of the rows of a table in the platform's store. Futures complete on the event loop and
 * never exceptionally.
 */
public interface ChangeFeed {

  /**
   * A row that was written or deleted.
   *
   * @param key key of the row
   * @param value its value, or empty if it was deleted
   */
  record Change(String key, Optional<String> value) {}

  /** Outcome of a call. */
  sealed interface Result {

    /**
     * Rows up to a position.
     *
     * @param changes the rows in order
     * @param position where to continue
     */
    record Changes(List<Change> changes, long position) implements Result {}

    /** The history after the position is gone, so the whole table must be read. */
    record HistoryLost() implements Result {}

    /**
     * No answer came.
     *
     * @param reason what happened
     */
    record Failed(String reason) implements Result {}
  }

  /**
   * Reads all rows.
   *
   * @param table name of the table
   * @return the rows at one moment
   */
  CompletableFuture<Result> readAll(String table);

  /**
   * Waits for changes.
   *
   * @param table name of the table
   * @param position position of the previous result
   * @param waitMillis longest time to wait for the first change, in milliseconds
   * @return the changes since the position, none if the time is over
   */
  CompletableFuture<Result> poll(String table, long position, long waitMillis);
}
