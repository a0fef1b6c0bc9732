package org.hibiscusreel.bench.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Event loop of a simulated process that can be paused and killed. */
public final class SimulatedProcess implements Scheduler {

  private final VirtualTime time;
  private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
  private boolean alive = true;
  private boolean paused;

  /**
   * Creates a running process.
   *
   * @param time the virtual clock
   */
  public SimulatedProcess(VirtualTime time) {
    this.time = time;
  }

  /**
   * Runs a task now or, while the process is paused, once it resumes. A killed process drops it.
   *
   * @param task task of the process
   */
  public void deliver(Runnable task) {
    if (!alive) {
      return;
    }
    if (paused) {
      deferredTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Pauses the process: its tasks are deferred until {@link #resume()}. */
  public void pause() {
    paused = true;
  }

  /** Resumes the process and runs the deferred tasks at once, in order. */
  public void resume() {
    paused = false;
    while (!deferredTasks.isEmpty() && !paused) {
      deferredTasks.poll().run();
    }
  }

  /** Kills the process without any clean-up. */
  public void kill() {
    alive = false;
    deferredTasks.clear();
  }

  /**
   * Returns whether the process has not been killed.
   *
   * @return true until it is killed, also while paused
   */
  public boolean isAlive() {
    return alive;
  }

  /**
   * Returns whether the process currently runs tasks.
   *
   * @return true if alive and not paused
   */
  public boolean isRunning() {
    return alive && !paused;
  }

  @Override
  public long nowMillis() {
    return time.nowMillis();
  }

  @Override
  public long wallMillis() {
    return time.wallMillis();
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    boolean[] cancelled = new boolean[1];
    Runnable unlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    Cancellable c = time.schedule(delayMillis, () -> deliver(unlessCancelled));
    return () -> {
      cancelled[0] = true;
      c.cancel();
    };
  }
}
