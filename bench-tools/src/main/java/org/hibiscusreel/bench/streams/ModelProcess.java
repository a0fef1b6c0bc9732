package org.hibiscusreel.bench.streams;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/**
 * Event loop of one process with a clock of its own. While the process stands still, what is sent
 * to it waits in the buffers of its sockets.
 */
final class ModelProcess implements Scheduler {

  /** Datagrams that the socket of a process that stands still keeps. */
  static final int MAX_WAITING_DATAGRAMS = 100;

  /** A task that is due at a time of the clock of the process. */
  private static final class Timer {
    private final long dueMillis;
    private final Runnable task;
    private boolean isCancelled;

    Timer(long dueMillis, Runnable task) {
      this.dueMillis = dueMillis;
      this.task = task;
    }
  }

  private final VirtualTime time;
  private final long clockOffsetMillis;
  private final Deque<Runnable> input = new ArrayDeque<>();
  private final Deque<Timer> dueTimers = new ArrayDeque<>();
  private int waitingDatagrams;
  private boolean alive = true;
  private boolean frozen;
  private boolean clockCounts;
  private boolean isInputFirst;
  private long frozenAtMillis;
  private long uncountedMillis;

  ModelProcess(VirtualTime time, long clockOffsetMillis) {
    this.time = time;
    this.clockOffsetMillis = clockOffsetMillis;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isFrozen() {
    return frozen;
  }

  void kill() {
    alive = false;
    input.clear();
    dueTimers.clear();
  }

  /**
   * Lets the process stand still.
   *
   * @param counts whether the clock of the process counts the time
   * @param inputFirst whether the process handles what has arrived before its timers afterwards
   */
  void freeze(boolean counts, boolean inputFirst) {
    if (!frozen) {
      frozen = true;
      clockCounts = counts;
      isInputFirst = inputFirst;
      frozenAtMillis = time.nowMillis();
    }
  }

  void resume() {
    if (!frozen || !alive) {
      return;
    }
    frozen = false;
    uncountedMillis += clockCounts ? 0 : time.nowMillis() - frozenAtMillis;
    waitingDatagrams = 0;
    if (isInputFirst) {
      handleInput();
      handleTimers();
    } else {
      handleTimers();
      handleInput();
    }
  }

  private void handleInput() {
    while (alive && !input.isEmpty()) {
      input.poll().run();
    }
  }

  private void handleTimers() {
    while (alive && !dueTimers.isEmpty()) {
      fire(dueTimers.poll());
    }
  }

  /** Delivers what arrives over a connection. */
  void deliver(Runnable task) {
    if (!alive) {
      return;
    }
    if (frozen) {
      input.add(task);
    } else {
      task.run();
    }
  }

  /** Delivers a datagram, which is lost if too many are waiting. */
  void deliverDatagram(Runnable task) {
    if (frozen && ++waitingDatagrams > MAX_WAITING_DATAGRAMS) {
      return;
    }
    deliver(task);
  }

  @Override
  public long nowMillis() {
    long now = frozen && !clockCounts ? frozenAtMillis : time.nowMillis();
    return now + clockOffsetMillis - uncountedMillis;
  }

  @Override
  public long wallMillis() {
    return time.wallMillis();
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    long delay = Math.max(0, delayMillis);
    Timer timer = new Timer(nowMillis() + delay, task);
    Cancellable queued = time.schedule(delay, () -> fire(timer));
    return () -> {
      timer.isCancelled = true;
      queued.cancel();
    };
  }

  private void fire(Timer timer) {
    if (!alive || timer.isCancelled) {
      return;
    }
    if (frozen) {
      dueTimers.add(timer);
    } else if (timer.dueMillis > nowMillis()) {
      time.schedule(timer.dueMillis - nowMillis(), () -> fire(timer));
    } else {
      timer.task.run();
    }
  }
}
