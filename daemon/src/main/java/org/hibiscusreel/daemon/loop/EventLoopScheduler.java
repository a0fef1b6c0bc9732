package org.hibiscusreel.daemon.loop;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.reactor.Reactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Runs delayed tasks on an ActiveJ event loop. Used only on the thread of the event loop. */
public final class EventLoopScheduler implements Scheduler {

  private final Reactor reactor;
  private final CurrentTimeProvider loopTime;

  /**
   * Creates a scheduler for an event loop that uses the system time.
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
   * @param loopTime time provider that the event loop was built with
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
    // Background tasks don't keep the loop alive, so pending timers can't delay an exit.
    // The loop measures delays from the start of its current iteration. The time since then is
    // added, because a long iteration would otherwise shorten the delay.
    long elapsedMillis = Math.max(0, loopTime.currentTimeMillis() - reactor.currentTimeMillis());
    ScheduledRunnable scheduled =
        reactor.delayBackground(Math.max(0, delayMillis) + elapsedMillis, task);
    return () -> {
      if (scheduled.isActive()) {
        scheduled.cancel();
      }
    };
  }
}
