package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hibiscusreel.bench.sim.VirtualTime;

/** Path between one host and the store. */
final class StoreLink {

  private static final int MAX_DELAY_MILLIS = 6;

  /** What a call concerns. */
  enum Part {
    /** The feed of the table with the configuration. */
    CONFIGURATION,
    /** The feed of the table with the upstreams. */
    UPSTREAMS,
    /** Rows that the daemons read and write. */
    ROWS
  }

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
    /** As hanging, but only for the feed of the configuration. */
    CONFIGURATION_HANGING,
    /** As hanging, but only for the feed of the upstreams. */
    UPSTREAMS_HANGING,
    /** As hanging, but only for rows. */
    ROWS_HANGING;

    private boolean holds(Part part) {
      return switch (this) {
        case HANGING -> true;
        case CONFIGURATION_HANGING -> part == Part.CONFIGURATION;
        case UPSTREAMS_HANGING -> part == Part.UPSTREAMS;
        case ROWS_HANGING -> part == Part.ROWS;
        default -> false;
      };
    }
  }

  private record Held(Part part, Runnable arrival) {}

  private final VirtualTime time;
  private final SplittableRandom random;
  private final List<Held> held = new ArrayList<>();
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
    List<Held> all = List.copyOf(held);
    held.clear();
    all.forEach(h -> carry(h.part(), h.arrival()));
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

  /**
   * Carries a message in one direction.
   *
   * @param part what it concerns
   * @param arrival called on its arrival, possibly late
   */
  void carry(Part part, Runnable arrival) {
    time.schedule(delayMillis(), () -> arrive(part, arrival));
  }

  private void arrive(Part part, Runnable arrival) {
    if (state.holds(part)) {
      held.add(new Held(part, arrival));
    } else {
      arrival.run();
    }
  }
}
