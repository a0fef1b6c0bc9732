package org.hibiscusreel.coordination.platform;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.StoreClock;

/**
 * Estimates the store's clock from the times in its responses, advanced by a steady clock between
 * them. A response is stamped after its call was sent and before it is received, so the estimate of
 * the current time is never ahead of the store, and the one of the first call never behind. Not
 * thread-safe.
 */
public final class ObservedStoreClock implements StoreClock {

  private static final long NEVER = Long.MIN_VALUE;

  private final LongSupplier steadyMillis;
  private long storeMillis;
  private long observedAtSteadyMillis;
  private long firstCallAtSteadyMillis = NEVER;
  private long firstCallMillis = Long.MAX_VALUE;

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
   * Records that a call is about to be sent.
   *
   * @return steady time in milliseconds, to be passed to {@link #observeWrite}
   */
  public long beginCall() {
    long now = steadyMillis.getAsLong();
    if (firstCallAtSteadyMillis == NEVER) {
      firstCallAtSteadyMillis = now;
    }
    return now;
  }

  /**
   * Updates the clock with the time in a response that was just received.
   *
   * @param millis time of the store in milliseconds, 0 if the response has none
   */
  public void observe(long millis) {
    if (millis > millis()) {
      storeMillis = millis;
      observedAtSteadyMillis = steadyMillis.getAsLong();
    }
  }

  /**
   * Updates the clock with the time in the response to a write that was just received. The store
   * may answer reads from an earlier state, so that only a write bounds the time of the first call.
   *
   * @param millis time of the store in milliseconds, 0 if the response has none
   * @param calledAtSteadyMillis result of {@link #beginCall} for the write
   */
  public void observeWrite(long millis, long calledAtSteadyMillis) {
    if (millis > 0 && firstCallMillis == Long.MAX_VALUE) {
      firstCallMillis = millis - (calledAtSteadyMillis - firstCallAtSteadyMillis);
    }
    observe(millis);
  }

  @Override
  public long millis() {
    return storeMillis == 0 ? 0 : storeMillis + steadyMillis.getAsLong() - observedAtSteadyMillis;
  }

  @Override
  public long firstCallMillis() {
    return firstCallMillis;
  }
}
