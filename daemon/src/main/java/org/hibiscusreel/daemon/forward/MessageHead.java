package org.hibiscusreel.daemon.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hibiscusreel.coordination.forward.HeaderField;

/**
 * Collects the first bytes of an HTTP message until its head is complete. A line may end with a LF
 * alone, as in {@link org.hibiscusreel.daemon.http.ResponseFraming}.
 */
final class MessageHead {

  /** Result of adding bytes. */
  enum State {
    INCOMPLETE,
    COMPLETE,
    TOO_LARGE
  }

  private static final String LINE_END = "\r\n";
  private static final Pattern HEAD_END = Pattern.compile("\r?\n\r?\n");

  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private List<String> lines = List.of();
  private int headLength = -1;

  MessageHead(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  State add(byte[] array, int offset, int length) {
    bytes.write(array, offset, length);
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    Matcher end = HEAD_END.matcher(text);
    if (!end.find()) {
      return bytes.size() > maxBytes ? State.TOO_LARGE : State.INCOMPLETE;
    }
    headLength = end.end();
    lines = List.of(text.substring(0, end.start()).split("\r?\n", -1));
    return State.COMPLETE;
  }

  /** Returns the number of bytes so far. */
  int size() {
    return bytes.size();
  }

  /** Returns the bytes after the head. */
  byte[] rest() {
    byte[] all = bytes.toByteArray();
    return Arrays.copyOfRange(all, headLength, all.length);
  }

  /** Returns the first value of a header field. */
  Optional<String> find(String name) {
    return fields().stream()
        .filter(f -> f.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }

  List<HeaderField> fields() {
    List<HeaderField> fields = new ArrayList<>();
    for (String line : lines.subList(1, lines.size())) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        fields.add(new HeaderField(line.substring(0, colon), line.substring(colon + 1).strip()));
      }
    }
    return fields;
  }

  /** Returns the method of a request. */
  String method() {
    return lines.get(0).split(" ", -1)[0];
  }

  /** Returns the status of a response, 0 if there is none. */
  int status() {
    String[] parts = lines.get(0).split(" ", -1);
    try {
      return parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns the head without the first field of a name, and with another host. */
  byte[] rewrite(String removedField, String host) {
    StringBuilder text = new StringBuilder(lines.get(0)).append(LINE_END);
    boolean isRemoved = false;
    for (String line : lines.subList(1, lines.size())) {
      if (!isRemoved && isField(line, removedField)) {
        isRemoved = true;
      } else {
        text.append(isField(line, "Host") ? "Host: " + host : line).append(LINE_END);
      }
    }
    return text.append(LINE_END).toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static boolean isField(String line, String name) {
    return line.regionMatches(true, 0, name + ":", 0, name.length() + 1);
  }
}
