package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hibiscusreel.bench.sim.VirtualTime;

/** Path between one host and the store. */
final class StoreLink {

  private static final int MAX_DELAY_MILLIS = 6;

  /** What happens to the calls of a host. */
  enum State {
    OPEN,
    /** Connections are reset; nothing is performed. */
    RESET,
    /** The store turns the host away; nothing is performed. */
    REFUSED,
    /** Calls are performed, and their responses are lost. */
    DEAF,
    /** Nothing passes until the cut heals; then what was sent arrives. */
    HANGING,
    /** As hanging, but only for the table with the configuration. */
    CONFIGURATION_HANGING
  }

  private final VirtualTime time;
  private final SplittableRandom random;
  private final List<Runnable> held = new ArrayList<>();
  private final List<Runnable> heldConfiguration = new ArrayList<>();
  private State state = State.OPEN;
  private long addedDelayMillis;

  StoreLink(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  State state() {
    return state;
  }

  /** Sets the state; what the link has held arrives once it does not hold it any more. */
  void set(State newState) {
    state = newState;
    release(held, newState == State.HANGING);
    release(
        heldConfiguration, newState == State.HANGING || newState == State.CONFIGURATION_HANGING);
  }

  private void release(List<Runnable> waiting, boolean isHeld) {
    if (!isHeld) {
      List<Runnable> all = List.copyOf(waiting);
      waiting.clear();
      all.forEach(r -> time.schedule(delayMillis(), r));
    }
  }

  void setAddedDelayMillis(long millis) {
    addedDelayMillis = millis;
  }

  private long delayMillis() {
    return 1 + random.nextInt(MAX_DELAY_MILLIS) + addedDelayMillis;
  }

  /** Returns whether calls get no usable response at once. */
  boolean isFailing() {
    return state == State.RESET || state == State.REFUSED || state == State.DEAF;
  }

  /** Returns whether the link is cut for the table with the configuration, or for all. */
  boolean isHolding(boolean isConfiguration) {
    return state == State.HANGING || (isConfiguration && state == State.CONFIGURATION_HANGING);
  }

  /**
   * Carries a message in one direction.
   *
   * @param isConfiguration whether it concerns the table with the configuration
   * @param arrival called on its arrival, possibly late
   */
  void carry(boolean isConfiguration, Runnable arrival) {
    time.schedule(delayMillis(), () -> arrive(isConfiguration, arrival));
  }

  private void arrive(boolean isConfiguration, Runnable arrival) {
    if (state == State.HANGING) {
      held.add(arrival);
    } else if (isHolding(isConfiguration)) {
      heldConfiguration.add(arrival);
    } else {
      arrival.run();
    }
  }
}
