package org.hibiscusreel.coordination.testing;

import org.hibiscusreel.coordination.port.StoreClock;

/**
 * Clock of a store that runs with a virtual clock, as a process sees it that sends its first call
 * when the clock is created.
 */
public final class VirtualStoreClock implements StoreClock {

  private final VirtualScheduler scheduler;
  private final long firstCallMillis;

  /** Creates a clock at the start of a process. */
  public VirtualStoreClock(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
    this.firstCallMillis = scheduler.nowMillis();
  }

  @Override
  public long millis() {
    return scheduler.nowMillis();
  }

  @Override
  public long firstCallMillis() {
    return firstCallMillis;
  }
}
