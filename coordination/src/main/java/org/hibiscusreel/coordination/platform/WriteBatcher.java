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
 * Merges small independent transactions of one tick into one. If some of them conflict, only those
 * are told so, and the others are sent again.
 */
public final class WriteBatcher {

  private record Group(List<Mutation> mutations, CompletableFuture<WriteResult> result) {}

  private final Scheduler scheduler;
  private final TableService table;
  private final long tickMillis;
  private final Deque<Group> queue = new ArrayDeque<>();
  private boolean scheduled;

  /**
   * Creates a batcher.
   *
   * @param scheduler runs the ticks
   * @param table the platform
   * @param tickMillis time for which transactions are collected, in milliseconds
   */
  public WriteBatcher(Scheduler scheduler, TableService table, long tickMillis) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.tickMillis = tickMillis;
  }

  /**
   * Adds a transaction.
   *
   * @param mutations 1 to {@link TableService#MAX_ROWS} mutations of distinct rows
   * @return its outcome; an unknown outcome of the merged transaction applies to all of its parts
   */
  public CompletableFuture<WriteResult> submit(List<Mutation> mutations) {
    Group group = new Group(List.copyOf(mutations), new CompletableFuture<>());
    queue.add(group);
    schedule();
    return group.result();
  }

  private void schedule() {
    if (!scheduled && !queue.isEmpty()) {
      scheduled = true;
      scheduler.schedule(tickMillis, this::send);
    }
  }

  private void send() {
    scheduled = false;
    List<Group> batch = takeBatch();
    List<Mutation> all = new ArrayList<>();
    batch.forEach(g -> all.addAll(g.mutations()));
    FutureCallbacks.onValue(table.transact(all), result -> complete(batch, result));
    schedule();
  }

  private List<Group> takeBatch() {
    List<Group> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    Iterator<Group> groups = queue.iterator();
    while (groups.hasNext()) {
      Group g = groups.next();
      boolean isDisjoint = g.mutations().stream().noneMatch(m -> keys.contains(m.key()));
      boolean hasRoom = keys.size() + g.mutations().size() <= TableService.MAX_ROWS;
      if (batch.isEmpty() || (isDisjoint && hasRoom)) {
        g.mutations().forEach(m -> keys.add(m.key()));
        batch.add(g);
        groups.remove();
      }
    }
    return batch;
  }

  private void complete(List<Group> batch, WriteResult result) {
    if (result instanceof WriteResult.Committed committed) {
      completeCommitted(batch, committed);
    } else if (result instanceof WriteResult.Conflict conflict && batch.size() > 1) {
      completeConflict(batch, conflict);
    } else {
      batch.forEach(g -> g.result().complete(result));
    }
  }

  private static void completeCommitted(List<Group> batch, WriteResult.Committed committed) {
    int from = 0;
    for (Group g : batch) {
      int to = from + g.mutations().size();
      g.result().complete(new WriteResult.Committed(committed.versions().subList(from, to)));
      from = to;
    }
  }

  private void completeConflict(List<Group> batch, WriteResult.Conflict conflict) {
    List<Group> again = new ArrayList<>();
    for (Group g : batch) {
      List<Row> own =
          conflict.rows().stream()
              .filter(r -> g.mutations().stream().anyMatch(m -> m.key().equals(r.key())))
              .toList();
      if (own.isEmpty() && !conflict.rows().isEmpty()) {
        again.add(g);
      } else {
        g.result().complete(new WriteResult.Conflict(own));
      }
    }
    for (int i = again.size() - 1; i >= 0; i--) {
      queue.addFirst(again.get(i));
    }
    schedule();
  }
}
