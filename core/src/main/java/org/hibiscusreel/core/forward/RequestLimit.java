package org.hibiscusreel.core.forward;

import java.util.Optional;
import java.util.OptionalDouble;

/** What a response says about the requests that its upstream takes from all daemons together. */
public sealed interface RequestLimit {

  /** Largest limit in requests per second; larger ones mean the same. */
  double MAX_PER_SECOND = 1_000_000;

  /** The upstream names no limit. */
  record Unlimited() implements RequestLimit {}

  /**
   * The upstream takes a limited number of requests.
   *
   * @param perSecond requests per second, 0 or more
   */
  record Limited(double perSecond) implements RequestLimit {}

  /**
   * The upstream names a limit that can't be read, so that it is unknown whether it has one.
   *
   * @param text what it names, shortened
   */
  record Invalid(String text) implements RequestLimit {}

  /**
   * Parses the limit that a response names.
   *
   * @param text decimal number of requests per second, or empty if the response names none
   * @return the limit
   */
  static RequestLimit parse(Optional<String> text) {
    if (text.isEmpty()) {
      return new Unlimited();
    }
    OptionalDouble perSecond = DecimalText.parse(text.get());
    return perSecond.isPresent()
        ? new Limited(Math.min(MAX_PER_SECOND, perSecond.getAsDouble()))
        : new Invalid(DecimalText.shorten(text.get()));
  }
}
