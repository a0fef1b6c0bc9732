package org.hibiscusreel.core.forward;

import java.util.Optional;
import java.util.OptionalDouble;

/** What a refusal says of the time for which its upstream wants no requests of this daemon. */
public sealed interface PauseRequest {

  /**
   * Longest pause in milliseconds. A mistaken time must not keep an upstream unused for the rest of
   * its life.
   */
  long MAX_MILLIS = 600_000;

  /** The upstream asks for no pause. */
  record None() implements PauseRequest {}

  /**
   * The upstream wants no requests for some time.
   *
   * @param millis length of the pause in milliseconds, 0 or more
   */
  record Pause(long millis) implements PauseRequest {}

  /**
   * The upstream names a time that can't be read, so that it is unknown when it takes requests.
   *
   * @param text what it names, shortened
   */
  record Invalid(String text) implements PauseRequest {}

  /**
   * Parses the time that a refusal names.
   *
   * @param text decimal number of seconds, or empty if the refusal names none
   * @return the pause
   */
  static PauseRequest parse(Optional<String> text) {
    if (text.isEmpty()) {
      return new None();
    }
    OptionalDouble seconds = DecimalText.parse(text.get());
    return seconds.isPresent()
        ? new Pause((long) Math.min(MAX_MILLIS, Math.ceil(seconds.getAsDouble() * 1_000)))
        : new Invalid(DecimalText.shorten(text.get()));
  }
}
