package org.hibiscusreel.bench.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** The event loop of one simulated process, which can be paused and killed. */
public final class ProcessScope implements Scheduler {

  private final VirtualTime time;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private boolean alive = true;
  private boolean paused;

  /**
   * Creates a running process.
   *
   * @param time the virtual clock
   */
  public ProcessScope(VirtualTime time) {
    this.time = time;
  }

  /**
   * Runs a task of the process now, after its pause, or never if it was killed.
   *
   * @param task the task
   */
  public void deliver(Runnable task) {
    if (!alive) {
      return;
    }
    if (paused) {
      held.add(task);
    } else {
      task.run();
    }
  }

  /** Stops the process from running anything until {@link #resume()}. */
  public void pause() {
    paused = true;
  }

  /** Ends a pause: everything that was held back runs at once, in order. */
  public void resume() {
    paused = false;
    while (!held.isEmpty() && !paused) {
      held.poll().run();
    }
  }

  /** Ends the process without any clean-up. */
  public void kill() {
    alive = false;
    held.clear();
  }

  /**
   * Tells whether the process was not killed.
   *
   * @return true while it is alive, also when paused
   */
  public boolean isAlive() {
    return alive;
  }

  /**
   * Tells whether the process runs tasks now.
   *
   * @return true if alive and not paused
   */
  public boolean isRunning() {
    return alive && !paused;
  }

  @Override
  public long nowMillis() {
    return time.now();
  }

  @Override
  public long wallMillis() {
    return time.wall();
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
