package org.hibiscusreel.coordination.platform;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.StoreClock;

/**
 * Estimates the store's clock from the times in its responses, advanced by a steady clock between
 * them. A response is stamped before it is received, so the estimate is never ahead of the store.
 * Not thread-safe.
 */
public final class ObservedStoreClock implements StoreClock {

  private final LongSupplier steadyMillis;
  private long storeMillis;
  private long observedAtSteadyMillis;

  /**
   * Creates a clock that returns 0 until the first observation.
   *
   * @param steadyMillis monotonic time in milliseconds
   * @throws NullPointerException if the argument is null
   */
  public ObservedStoreClock(LongSupplier steadyMillis) {
    this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis");
  }

  /**
   * Updates the clock with the time in a response that was just received.
   *
   * @param millis time of the store in milliseconds
   */
  public void observe(long millis) {
    if (millis > millis()) {
      storeMillis = millis;
      observedAtSteadyMillis = steadyMillis.getAsLong();
    }
  }

  @Override
  public long millis() {
    return storeMillis == 0 ? 0 : storeMillis + steadyMillis.getAsLong() - observedAtSteadyMillis;
  }
}
