package org.hibiscusreel.coordination.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/**
 * Limits the rate of calls of one daemon, so that many daemons that reconnect at once do not
 * overload the platform. Reads within a short interval are merged into one, and reads of the same
 * row are deduplicated. After a failure, calls pause for an exponential delay with jitter. A call
 * that would wait too long fails immediately; a write then fails as not applied.
 */
public final class ThrottledTableService implements TableService {

  /**
   * Time for which reads are collected, in milliseconds; short compared to the latency of the
   * platform.
   */
  private static final long READ_BATCH_INTERVAL_MILLIS = 5;

  private final Scheduler scheduler;
  private final TableService table;
  private final RateLimitedCaller reads;
  private final RateLimitedCaller writes;
  private final Map<String, CompletableFuture<RowRead>> pendingReads = new LinkedHashMap<>();

  private record RowRead(Optional<Row> row, String failure) {}

  /**
   * Creates the decorator.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param random source of random bits
   * @param readsPerSecond largest number of reads and scans a second, positive
   * @param writesPerSecond largest number of transactions a second, positive
   */
  public ThrottledTableService(
      Scheduler scheduler,
      TableService table,
      LongSupplier random,
      int readsPerSecond,
      int writesPerSecond) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.reads = new RateLimitedCaller(scheduler, random, readsPerSecond);
    this.writes = new RateLimitedCaller(scheduler, random, writesPerSecond);
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    return writes.call(
        () -> table.transact(mutations),
        result -> result instanceof WriteResult.NotApplied,
        WriteResult.NotApplied::new);
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return callRead(() -> table.scan(prefix, after, limit));
  }

  private CompletableFuture<ReadResult> callRead(Supplier<CompletableFuture<ReadResult>> call) {
    return reads.call(call, result -> result instanceof ReadResult.Failed, ReadResult.Failed::new);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    if (pendingReads.isEmpty()) {
      scheduler.schedule(READ_BATCH_INTERVAL_MILLIS, this::sendReads);
    }
    List<CompletableFuture<RowRead>> rows =
        keys.stream()
            .map(key -> pendingReads.computeIfAbsent(key, k -> new CompletableFuture<>()))
            .toList();
    return CompletableFuture.allOf(rows.toArray(CompletableFuture[]::new))
        .thenApply(done -> join(rows));
  }

  private static ReadResult join(List<CompletableFuture<RowRead>> rows) {
    List<Row> found = new ArrayList<>();
    for (CompletableFuture<RowRead> future : rows) {
      RowRead row = future.join();
      if (!row.failure().isEmpty()) {
        return new ReadResult.Failed(row.failure());
      }
      row.row().ifPresent(found::add);
    }
    return new ReadResult.Rows(found, false);
  }

  private void sendReads() {
    Map<String, CompletableFuture<RowRead>> all = new LinkedHashMap<>(pendingReads);
    pendingReads.clear();
    List<String> keys = List.copyOf(all.keySet());
    for (int from = 0; from < keys.size(); from += MAX_ROWS) {
      List<String> part = keys.subList(from, Math.min(keys.size(), from + MAX_ROWS));
      FutureCallbacks.onValue(
          callRead(() -> table.read(part)),
          result -> part.forEach(key -> all.get(key).complete(rowOf(key, result))));
    }
  }

  private static RowRead rowOf(String key, ReadResult result) {
    if (result instanceof ReadResult.Rows rows) {
      return new RowRead(TableReads.find(rows, key), "");
    }
    String reason = ((ReadResult.Failed) result).reason();
    return new RowRead(Optional.empty(), reason.isEmpty() ? "failed" : reason);
  }
}
