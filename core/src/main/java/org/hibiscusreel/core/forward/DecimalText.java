package org.hibiscusreel.core.forward;

import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Decimal numbers in header fields, which may come from any upstream. */
final class DecimalText {

  /** Longest part of an unreadable text that is kept, in characters. */
  static final int MAX_SHOWN_LENGTH = 40;

  /** Form of a number: without sign or exponent, which {@code parseDouble} would also take. */
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{0,30})?|\\.\\d{1,30}");

  private DecimalText() {}

  /** Returns the number, or empty if the text is none; spaces around it are ignored. */
  static OptionalDouble parse(String text) {
    String number = text.strip();
    return DECIMAL.matcher(number).matches()
        ? OptionalDouble.of(Double.parseDouble(number))
        : OptionalDouble.empty();
  }

  /** Returns the beginning of an unreadable text. */
  static String shorten(String text) {
    String stripped = text.strip();
    return stripped.substring(0, Math.min(stripped.length(), MAX_SHOWN_LENGTH));
  }
}
