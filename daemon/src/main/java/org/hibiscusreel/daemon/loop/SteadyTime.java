package org.hibiscusreel.daemon.loop;

import io.activej.common.time.CurrentTimeProvider;
import java.util.concurrent.TimeUnit;

/**
 * Time for an event loop that never jumps. The time of day is set back and forth on some hosts,
 * which would fire the timers of an event loop too early or hold them back.
 */
public final class SteadyTime implements CurrentTimeProvider {

  private final long originMillis = System.currentTimeMillis();
  private final long originNanos = System.nanoTime();

  @Override
  public long currentTimeMillis() {
    return originMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
  }
}
