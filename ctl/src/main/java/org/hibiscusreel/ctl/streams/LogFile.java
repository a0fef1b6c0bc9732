package org.hibiscusreel.ctl.streams;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Predicate;

/** Reads a file with JSON lines of daemons, which may hold lines of other programs as well. */
public final class LogFile {

  /** Longest line that is read, in bytes. A daemon's line has a few hundred. */
  static final int MAX_LINE_BYTES = 256 * 1024;

  private static final int BUFFER_BYTES = 64 * 1024;
  private static final String EVENT = "\"event\":\"";

  /**
   * Numbers of lines.
   *
   * @param read lines of daemons
   * @param passedOver lines of another format, cut off or too long
   */
  public record Counts(long read, long passedOver) {

    /**
     * Returns the sum with other numbers.
     *
     * @param other the other numbers
     * @return the sums
     */
    public Counts plus(Counts other) {
      return new Counts(read + other.read, passedOver + other.passedOver);
    }
  }

  private final Predicate<String> receiver;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private long lineBytes;
  private long read;
  private long passedOver;

  private LogFile(Predicate<String> receiver) {
    this.receiver = receiver;
  }

  /**
   * Reads a file. What precedes the first brace of a line is left out.
   *
   * @param path the file
   * @param receiver receives the JSON text of each line; returns false if it can't be used
   * @return numbers of lines
   * @throws IOException if the file can't be read
   */
  public static Counts read(Path path, Predicate<String> receiver) throws IOException {
    LogFile file = new LogFile(receiver);
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = Files.newInputStream(path)) {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        file.onBytes(buffer, n);
      }
    }
    file.endLine();
    return new Counts(file.read, file.passedOver);
  }

  private void onBytes(byte[] bytes, int count) {
    int begin = 0;
    for (int i = 0; i < count; i++) {
      if (bytes[i] == '\n') {
        append(bytes, begin, i);
        endLine();
        begin = i + 1;
      }
    }
    append(bytes, begin, count);
  }

  private void append(byte[] bytes, int begin, int end) {
    lineBytes += end - begin;
    if (lineBytes <= MAX_LINE_BYTES) {
      line.write(bytes, begin, end - begin);
    }
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8).strip();
    final boolean isTooLong = lineBytes > MAX_LINE_BYTES;
    line.reset();
    lineBytes = 0;
    if (text.isEmpty()) {
      return;
    }
    int begin = text.indexOf('{');
    boolean isEvent =
        !isTooLong && begin >= 0 && text.endsWith("}") && text.indexOf(EVENT, begin) >= 0;
    if (isEvent && receiver.test(text.substring(begin))) {
      read++;
    } else {
      passedOver++;
    }
  }
}
