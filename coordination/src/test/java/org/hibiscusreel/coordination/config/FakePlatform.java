package org.hibiscusreel.coordination.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** In-memory platform and clock. Outcomes of writes can be scripted. */
public final class FakePlatform implements Scheduler, TableService, ObjectStore {

  /** Fault injected into the next write. */
  enum Fault {
    /** The write takes effect and its response is lost. */
    RESPONSE_LOST,
    /** The write does not take effect and its response is lost. */
    REQUEST_LOST,
    /** The write is throttled. */
    THROTTLED
  }

  private record Task(long at, long order, Runnable action) {}

  final TreeMap<String, Row> rows = new TreeMap<>();
  final TreeMap<String, byte[]> stored = new TreeMap<>();
  final Deque<Fault> faults = new ArrayDeque<>();
  Runnable beforeNextWrite = () -> {};
  boolean down;
  int reads;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  private long now;
  private long order;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public long wallMillis() {
    return 1_000_000 + now;
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable action) {
    Task task = new Task(now + Math.max(0, delayMillis), order++, action);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  /** Returns the rows by key. */
  public SortedMap<String, Row> rows() {
    return rows;
  }

  /** Makes the next write take effect and loses its response. */
  public void loseNextResponse() {
    faults.add(Fault.RESPONSE_LOST);
  }

  /** Advances the clock by a number of milliseconds and runs the tasks that become due. */
  public void advance(long millis) {
    long end = now + millis;
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = task.at();
      task.action().run();
    }
    now = end;
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    Runnable before = beforeNextWrite;
    beforeNextWrite = () -> {};
    before.run();
    Fault fault = faults.poll();
    if (fault == Fault.THROTTLED) {
      return CompletableFuture.completedFuture(new WriteResult.NotApplied("throttled"));
    }
    WriteResult result =
        fault == Fault.REQUEST_LOST ? new WriteResult.Unknown("lost") : apply(mutations);
    return CompletableFuture.completedFuture(
        fault == Fault.RESPONSE_LOST ? new WriteResult.Unknown("lost") : result);
  }

  private WriteResult apply(List<Mutation> mutations) {
    List<Row> conflicts = new ArrayList<>();
    for (Mutation m : mutations) {
      Row row = rows.getOrDefault(m.key(), new Row(m.key(), 0, ""));
      boolean holds =
          m.expect() instanceof Mutation.Expect.Any
              || (m.expect() instanceof Mutation.Expect.Absent && row.version() == 0)
              || (m.expect() instanceof Mutation.Expect.Version v && v.version() == row.version());
      if (!holds) {
        conflicts.add(row);
      }
    }
    if (!conflicts.isEmpty()) {
      return new WriteResult.Conflict(conflicts);
    }
    List<Long> versions = new ArrayList<>();
    for (Mutation m : mutations) {
      long version = rows.getOrDefault(m.key(), new Row(m.key(), 0, "")).version() + 1;
      rows.put(m.key(), new Row(m.key(), version, ((Mutation.Change.Put) m.change()).value()));
      versions.add(version);
    }
    return new WriteResult.Committed(versions);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    reads++;
    return CompletableFuture.completedFuture(
        down
            ? new ReadResult.Failed("down")
            : new ReadResult.Rows(
                keys.stream().filter(rows::containsKey).map(rows::get).toList(), false));
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Boolean> put(String key, byte[] body) {
    stored.put(key, body.clone());
    return CompletableFuture.completedFuture(true);
  }

  @Override
  public CompletableFuture<GetResult> get(String key) {
    if (down) {
      return CompletableFuture.completedFuture(new GetResult.Failed("down"));
    }
    byte[] body = stored.get(key);
    return CompletableFuture.completedFuture(
        body == null ? new GetResult.Missing() : new GetResult.Found(body));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    throw new UnsupportedOperationException();
  }
}
