package org.hibiscusreel.ctl.streams;

import java.util.List;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Builds a line of output with fields; empty ones are left out. */
final class LineText {

  private final StringBuilder text;

  LineText(String kind) {
    this.text = new StringBuilder(kind);
  }

  LineText add(String name, String value) {
    if (!value.isEmpty()) {
      text.append(' ').append(name).append("=\"").append(value.replace("\"", "'")).append('"');
    }
    return this;
  }

  LineText add(String name, List<String> values) {
    return add(name, String.join(", ", values));
  }

  /** Returns the service and version of an origin. */
  static String origin(StreamOrigin origin) {
    return origin.service() + " " + origin.softwareVersion();
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
