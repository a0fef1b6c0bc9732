package org.hibiscusreel.core.forward;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a response says about the requests that its upstream can reject. A brittle upstream ends if
 * it has to reject more than it tolerates within a second for want of room.
 */
public sealed interface RejectionTolerance {

  /** Largest tolerance in rejections per second; larger ones mean the same. */
  int MAX_PER_SECOND = 1_000_000;

  /** The upstream is not brittle. */
  record Unbounded() implements RejectionTolerance {}

  /**
   * The upstream is brittle.
   *
   * @param perSecond rejections per second that it survives, 0 or more
   */
  record Bounded(int perSecond) implements RejectionTolerance {}

  /**
   * The upstream names a number that can't be read, so that it is unknown whether it is brittle.
   *
   * @param text what it names, shortened
   */
  record Invalid(String text) implements RejectionTolerance {}

  /**
   * Parses the number that a response names.
   *
   * @param text decimal number of rejections per second, whose fraction does not count, or empty if
   *     the response names none
   * @return the tolerance
   */
  static RejectionTolerance parse(Optional<String> text) {
    if (text.isEmpty()) {
      return new Unbounded();
    }
    OptionalDouble perSecond = DecimalText.parse(text.get());
    return perSecond.isPresent()
        ? new Bounded((int) Math.min(MAX_PER_SECOND, perSecond.getAsDouble()))
        : new Invalid(DecimalText.shorten(text.get()));
  }
}
