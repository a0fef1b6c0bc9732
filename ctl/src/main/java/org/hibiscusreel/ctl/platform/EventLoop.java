package org.hibiscusreel.ctl.platform;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Single-threaded scheduler and executor that completes the futures of the platform clients. */
public final class EventLoop implements Scheduler, Executor, AutoCloseable {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(EventLoop::newThread);

  @Override
  public long nowMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    Future<?> future = executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(task);
  }

  /** Stops the thread and discards pending tasks. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "event-loop");
    thread.setDaemon(true);
    return thread;
  }
}
