package org.hibiscusreel.coordination.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/**
 * Merges small independent transactions that are submitted within a short interval into one. If
 * some of them conflict, only those fail with a conflict, and the others are sent again.
 */
public final class WriteBatcher {

  private record Transaction(List<Mutation> mutations, CompletableFuture<WriteResult> result) {}

  private final Scheduler scheduler;
  private final TableService table;
  private final long batchIntervalMillis;
  private final Deque<Transaction> queue = new ArrayDeque<>();
  private boolean scheduled;

  /**
   * Creates a batcher.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform
   * @param batchIntervalMillis time for which transactions are collected, in milliseconds
   */
  public WriteBatcher(Scheduler scheduler, TableService table, long batchIntervalMillis) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.batchIntervalMillis = batchIntervalMillis;
  }

  /**
   * Adds a transaction.
   *
   * @param mutations 1 to {@link TableService#MAX_ROWS} mutations of distinct rows
   * @return outcome of the transaction; an unknown outcome of the merged transaction applies to all
   *     of its parts
   */
  public CompletableFuture<WriteResult> submit(List<Mutation> mutations) {
    Transaction transaction = new Transaction(List.copyOf(mutations), new CompletableFuture<>());
    queue.add(transaction);
    schedule();
    return transaction.result();
  }

  private void schedule() {
    if (!scheduled && !queue.isEmpty()) {
      scheduled = true;
      scheduler.schedule(batchIntervalMillis, this::send);
    }
  }

  private void send() {
    scheduled = false;
    List<Transaction> batch = takeBatch();
    List<Mutation> all = new ArrayList<>();
    batch.forEach(transaction -> all.addAll(transaction.mutations()));
    FutureCallbacks.onValue(table.transact(all), result -> complete(batch, result));
    schedule();
  }

  private List<Transaction> takeBatch() {
    List<Transaction> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    Iterator<Transaction> transactions = queue.iterator();
    while (transactions.hasNext()) {
      Transaction transaction = transactions.next();
      boolean isDisjoint = transaction.mutations().stream().noneMatch(m -> keys.contains(m.key()));
      boolean fits = keys.size() + transaction.mutations().size() <= TableService.MAX_ROWS;
      if (batch.isEmpty() || (isDisjoint && fits)) {
        transaction.mutations().forEach(m -> keys.add(m.key()));
        batch.add(transaction);
        transactions.remove();
      }
    }
    return batch;
  }

  private void complete(List<Transaction> batch, WriteResult result) {
    if (result instanceof WriteResult.Committed committed) {
      completeCommitted(batch, committed);
    } else if (result instanceof WriteResult.Conflict conflict && batch.size() > 1) {
      completeConflict(batch, conflict);
    } else {
      batch.forEach(transaction -> transaction.result().complete(result));
    }
  }

  private static void completeCommitted(List<Transaction> batch, WriteResult.Committed committed) {
    int from = 0;
    for (Transaction transaction : batch) {
      int to = from + transaction.mutations().size();
      transaction
          .result()
          .complete(new WriteResult.Committed(committed.versions().subList(from, to)));
      from = to;
    }
  }

  private void completeConflict(List<Transaction> batch, WriteResult.Conflict conflict) {
    List<Transaction> retries = new ArrayList<>();
    for (Transaction transaction : batch) {
      List<Row> own =
          conflict.rows().stream()
              .filter(r -> transaction.mutations().stream().anyMatch(m -> m.key().equals(r.key())))
              .toList();
      if (own.isEmpty() && !conflict.rows().isEmpty()) {
        retries.add(transaction);
      } else {
        transaction.result().complete(new WriteResult.Conflict(own));
      }
    }
    for (int i = retries.size() - 1; i >= 0; i--) {
      queue.addFirst(retries.get(i));
    }
    schedule();
  }
}
