package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/**
 * What a row of the platform's store holds. Rows may come from another writer, so each row is
 * turned into a value or into the reason why it can't be used, and never ends its reader.
 *
 * @param <T> type of the value
 */
public sealed interface RowValue<T> {

  /** Longest reason that is kept, in characters. */
  int MAX_REASON_LENGTH = 200;

  /**
   * The row holds a value.
   *
   * @param value the value
   * @param <T> type of the value
   */
  record Present<T>(T value) implements RowValue<T> {}

  /**
   * There is no such row, or it is of no interest.
   *
   * @param <T> type of the value
   */
  record Absent<T>() implements RowValue<T> {}

  /**
   * The row can't be used.
   *
   * @param reason why, shortened
   * @param <T> type of the value
   */
  record Unusable<T>(String reason) implements RowValue<T> {

    /** Shortens the reason. */
    public Unusable {
      reason = shorten(reason, MAX_REASON_LENGTH);
    }
  }

  /**
   * Parser of the text of a row.
   *
   * @param <T> type of the value
   */
  interface Parser<T> {

    /**
     * Parses a text.
     *
     * @param text the text, not empty
     * @return the value
     * @throws IOException if the text is malformed or a field is missing or out of range
     */
    T parse(String text) throws IOException;
  }

  /**
   * Parses the text of a row.
   *
   * @param text text of the row; the empty text if it could not be decoded, empty if there is no
   *     such row
   * @param parser parser, whose exceptions make the row unusable
   * @param <T> type of the value
   * @return the value, or why there is none
   */
  static <T> RowValue<T> parse(Optional<String> text, Parser<T> parser) {
    if (text.isEmpty()) {
      return new Absent<>();
    }
    if (text.get().isEmpty()) {
      return new Unusable<>("the value is missing, empty or can't be decoded");
    }
    try {
      return new Present<>(parser.parse(text.get()));
    } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
      return new Unusable<>(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Shortens a text of another writer for the log.
   *
   * @param text the text
   * @param maxLength longest result in characters
   * @return the text or its first part
   */
  static String shorten(String text, int maxLength) {
    return text.length() <= maxLength ? text : text.substring(0, maxLength);
  }
}
