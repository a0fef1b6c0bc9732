package org.hibiscusreel.daemon.loop;

import io.activej.common.time.CurrentTimeProvider;
import java.util.concurrent.TimeUnit;

/**
 * Monotonic time for an event loop. Some hosts set their wall clock forward or back, which would
 * fire the timers of an event loop too early or too late.
 */
public final class MonotonicTimeProvider implements CurrentTimeProvider {

  private final long originMillis = System.currentTimeMillis();
  private final long originNanos = System.nanoTime();

  @Override
  public long currentTimeMillis() {
    return originMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
  }
}
