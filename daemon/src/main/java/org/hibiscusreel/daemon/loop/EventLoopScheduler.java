package org.hibiscusreel.daemon.loop;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Schedules tasks on an ActiveJ event loop. Used only on the thread of the event loop. */
public final class EventLoopScheduler implements Scheduler {

  private final Reactor reactor;
  private final CurrentTimeProvider loopTime;

  /**
   * Creates a scheduler for an event loop that runs on the time of day.
   *
   * @param reactor the event loop
   * @throws NullPointerException if the argument is null
   */
  public EventLoopScheduler(Reactor reactor) {
    this(reactor, CurrentTimeProvider.ofSystem());
  }

  /**
   * Creates a scheduler.
   *
   * @param reactor the event loop
   * @param loopTime the time that the event loop was built with
   * @throws NullPointerException if an argument is null
   */
  public EventLoopScheduler(Reactor reactor, CurrentTimeProvider loopTime) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    this.loopTime = Objects.requireNonNull(loopTime, "loopTime");
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
    long turnMillis = Math.max(0, loopTime.currentTimeMillis() - reactor.currentTimeMillis());
    ScheduledRunnable s = reactor.delayBackground(Math.max(0, delayMillis) + turnMillis, task);
    return () -> {
      if (s.isActive()) {
        s.cancel();
      }
    };
  }
}
