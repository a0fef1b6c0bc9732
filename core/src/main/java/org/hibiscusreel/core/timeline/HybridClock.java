package org.hibiscusreel.core.timeline;

import java.util.Objects;
import java.util.function.LongSupplier;

/** Hybrid logical clock of one process. Not thread-safe. */
public final class HybridClock {

  private final LongSupplier wallClock;
  private HybridTimestamp last = new HybridTimestamp(0, 0);

  /**
   * Creates a clock.
   *
   * @param wallClock supplies the wall-clock time in milliseconds since the epoch
   * @throws NullPointerException if the argument is null
   */
  public HybridClock(LongSupplier wallClock) {
    this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
  }

  /**
   * Returns the timestamp of a local event or an outgoing message.
   *
   * @return a timestamp greater than all timestamps issued or observed before
   */
  public HybridTimestamp tick() {
    last = after(last, wallClock.getAsLong());
    return last;
  }

  /**
   * Updates the clock with the timestamp of a received message.
   *
   * @param received timestamp of the sender
   * @return a timestamp greater than the received one and all timestamps issued or observed before
   * @throws NullPointerException if the argument is null
   */
  public HybridTimestamp observe(HybridTimestamp received) {
    HybridTimestamp newest = received.compareTo(last) > 0 ? received : last;
    last = after(newest, wallClock.getAsLong());
    return last;
  }

  private static HybridTimestamp after(HybridTimestamp previous, long wallMillis) {
    if (wallMillis > previous.wallMillis()) {
      return new HybridTimestamp(wallMillis, 0);
    }
    return new HybridTimestamp(previous.wallMillis(), previous.counter() + 1);
  }
}
