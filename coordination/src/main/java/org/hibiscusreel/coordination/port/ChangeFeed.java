package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Change feed of the tables in the platform's store. Futures complete on the event loop and never
 * exceptionally, unless the caller cancels them, which abandons the call.
 */
public interface ChangeFeed extends RestorableStore {

  /**
   * A row that was written or deleted.
   *
   * @param key key of the row
   * @param value value of the row, the empty text if it can't be decoded, or empty if it was
   *     deleted
   */
  record Change(String key, Optional<String> value) {}

  /** Outcome of a call. */
  sealed interface Result {

    /**
     * Rows up to a position.
     *
     * @param changes the rows in order
     * @param position position after the rows, to continue from
     */
    record Changes(List<Change> changes, long position) implements Result {}

    /** The change history after the position was discarded, so all rows must be read again. */
    record HistoryLost() implements Result {}

    /**
     * The changes after the position are too many to be received at once, so all rows should be
     * read again, each in its newest version only.
     */
    record TooManyChanges() implements Result {}

    /**
     * The call failed without a response.
     *
     * @param reason description of the failure
     */
    record Failed(String reason) implements Result {}
  }

  /**
   * Reads all rows.
   *
   * @param table name of the table
   * @return all rows at one point in time
   */
  CompletableFuture<Result> readAll(String table);

  /**
   * Waits for changes.
   *
   * @param table name of the table
   * @param position position of the previous result
   * @param waitMillis longest time to wait for the first change, in milliseconds
   * @return the changes since the position, none after the timeout
   */
  CompletableFuture<Result> poll(String table, long position, long waitMillis);
}
