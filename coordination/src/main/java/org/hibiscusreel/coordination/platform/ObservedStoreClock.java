package org.hibiscusreel.coordination.platform;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.StoreClock;

/**
 * Follows the store's clock from the times in its answers and a steady clock between them. An
 * answer is stamped before it is received, so the result is never ahead of the store. Not
 * thread-safe.
 */
public final class ObservedStoreClock implements StoreClock {

  private final LongSupplier steadyMillis;
  private long storeMillis;
  private long observedAt;

  /**
   * Creates a clock that knows no time yet.
   *
   * @param steadyMillis monotonic time in milliseconds, read at the moment of the call
   * @throws NullPointerException if the argument is null
   */
  public ObservedStoreClock(LongSupplier steadyMillis) {
    this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis");
  }

  /**
   * Takes the time of an answer that was just received.
   *
   * @param millis time of the store in milliseconds
   */
  public void observe(long millis) {
    if (millis > millis()) {
      storeMillis = millis;
      observedAt = steadyMillis.getAsLong();
    }
  }

  @Override
  public long millis() {
    return storeMillis == 0 ? 0 : storeMillis + steadyMillis.getAsLong() - observedAt;
  }
}
