package org.hibiscusreel.coordination.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Scheduler with a virtual clock that advances only in {@link #run}. */
public final class VirtualScheduler implements Scheduler {

  private static final long WALL_ORIGIN_MILLIS = 1_700_000_000_000L;

  private record Task(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::order));
  private long now;
  private long order;

  @Override
  public long nowMillis() {
    return now;
  }

  @Override
  public long wallMillis() {
    return WALL_ORIGIN_MILLIS + now;
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    Task t = new Task(now + Math.max(0, delayMillis), order++, task);
    tasks.add(t);
    return () -> tasks.remove(t);
  }

  /**
   * Runs all tasks that are due within a duration in milliseconds and advances the clock by the
   * duration.
   */
  public void run(long durationMillis) {
    long end = now + durationMillis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task t = tasks.poll();
      now = t.atMillis();
      t.action().run();
    }
    now = end;
  }
}
