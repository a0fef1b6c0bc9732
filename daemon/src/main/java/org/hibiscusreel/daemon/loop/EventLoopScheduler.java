package org.hibiscusreel.daemon.loop;

import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Schedules tasks on an ActiveJ event loop. Used only on the thread of the event loop. */
public final class EventLoopScheduler implements Scheduler {

  private final Reactor reactor;

  /**
   * Creates a scheduler.
   *
   * @param reactor the event loop
   * @throws NullPointerException if the argument is null
   */
  public EventLoopScheduler(Reactor reactor) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    // Background tasks don't keep the loop alive, so that pending timers can't delay an exit.
    // The loop counts from the start of its turn, so that a long turn would shorten the delay.
    long turnMillis = Math.max(0, System.currentTimeMillis() - reactor.currentTimeMillis());
    ScheduledRunnable s = reactor.delayBackground(Math.max(0, delayMillis) + turnMillis, task);
    return () -> {
      if (s.isActive()) {
        s.cancel();
      }
    };
  }
}
