package org.hibiscusreel.bench.sim;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hibiscusreel.coordination.port.Cancellable;

/** Virtual clock with a task queue. Tasks due at the same time run in the order of scheduling. */
public final class VirtualTime {

  /** Wall-clock time at the start of every run, 2026-01-05 08:00 UTC, in milliseconds. */
  public static final long START_WALL_MILLIS = 1_767_600_000_000L;

  private final PriorityQueue<Task> queue =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  private long nowMillis;
  private long order;

  /**
   * Returns the virtual time.
   *
   * @return milliseconds since the start of the run
   */
  public long nowMillis() {
    return nowMillis;
  }

  /**
   * Returns the virtual wall-clock time.
   *
   * @return milliseconds since the epoch
   */
  public long wallMillis() {
    return START_WALL_MILLIS + nowMillis;
  }

  /**
   * Runs a task after a delay.
   *
   * @param delayMillis delay in milliseconds; a negative delay counts as 0
   * @param action the task
   * @return a handle that cancels the task
   */
  public Cancellable schedule(long delayMillis, Runnable action) {
    Task t = new Task(nowMillis + Math.max(0, delayMillis), order++, new Runnable[] {action});
    queue.add(t);
    return () -> t.action[0] = null;
  }

  /**
   * Runs all tasks that are due by a time and advances the clock to it.
   *
   * @param until virtual time in milliseconds
   */
  public void runUntil(long until) {
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Task t = queue.poll();
      nowMillis = t.at;
      Runnable a = t.action[0];
      if (a != null) {
        a.run();
      }
    }
    nowMillis = Math.max(nowMillis, until);
  }

  private record Task(long at, long order, Runnable[] action) {}
}
