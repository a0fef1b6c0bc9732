package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service. Futures complete on the event loop and never
 * exceptionally.
 */
public interface TableService extends RestorableStore {

  /** Largest number of rows of one transaction or read. */
  int MAX_ROWS = 100;

  /**
   * Applies all mutations or none.
   *
   * @param mutations 1 to {@link #MAX_ROWS} mutations of distinct rows
   * @return the outcome
   */
  CompletableFuture<WriteResult> transact(List<Mutation> mutations);

  /**
   * Reads rows by key.
   *
   * @param keys 1 to {@link #MAX_ROWS} keys
   * @return the rows that exist
   */
  CompletableFuture<ReadResult> read(List<String> keys);

  /**
   * Scans rows by prefix in key order.
   *
   * @param prefix prefix of the keys
   * @param after lower bound of the keys, exclusive; empty for all keys
   * @param limit largest number of rows to return, positive
   * @return the rows
   */
  CompletableFuture<ReadResult> scan(String prefix, String after, int limit);
}
