package org.hibiscusreel.coordination.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.config.ConfigurationTrees;

/**
 * Line numbers of the headers and keys of a TOML text, which Jackson's TOML parser does not keep.
 * Keys inside inline tables and multi-line strings are not indexed; their enclosing key is.
 */
final class TomlLines {

  private final Map<String, Integer> lines = new HashMap<>();

  private TomlLines() {}

  /** Indexes a text that the parser has accepted. */
  static TomlLines index(String text) {
    TomlLines index = new TomlLines();
    String header = "";
    int number = 0;
    for (String raw : text.split("\n", -1)) {
      number++;
      String line = raw.strip();
      if (line.startsWith("[") && line.indexOf(']') > 0) {
        header = index.add("", line.substring(1, endOfHeader(line)), number);
      } else if (!line.startsWith("#")) {
        int equals = unquoted(line, '=');
        if (equals > 0) {
          index.add(header, line.substring(0, equals), number);
        }
      }
    }
    return index;
  }

  /** Returns the line number of a path, or 0 if the text does not define it. */
  int lineOf(String path) {
    return lines.getOrDefault(path, 0);
  }

  /** Returns the line number of a path or of the nearest enclosing path, or 0 if there is none. */
  int nearestLineOf(String path) {
    return lineOf(nearest(path));
  }

  /** Returns the length of the nearest enclosing path that the text defines. */
  int nearestDepth(String path) {
    return nearest(path).length();
  }

  private String nearest(String path) {
    String at = path;
    while (!at.isEmpty() && !lines.containsKey(at)) {
      at = at.substring(0, lastDot(at));
    }
    return at;
  }

  private String add(String header, String keys, int number) {
    String path = header;
    for (String key : parts(keys)) {
      path = ConfigurationTrees.child(path, key);
      lines.putIfAbsent(path, number);
    }
    return path;
  }

  private static int endOfHeader(String line) {
    int end = unquoted(line, ']');
    return end < 0 ? line.length() : end;
  }

  /** Returns the index of the first character {@code wanted} outside quotes, or -1. */
  private static int unquoted(String line, char wanted) {
    char quote = 0;
    for (int i = 0; i < line.length(); i++) {
      char c = line.charAt(i);
      if (quote != 0) {
        quote = c == quote ? 0 : quote;
      } else if (c == '"' || c == '\'') {
        quote = c;
      } else if (c == wanted) {
        return i;
      }
    }
    return -1;
  }

  private static List<String> parts(String keys) {
    List<String> parts = new ArrayList<>();
    String rest = keys;
    int dot = unquoted(rest, '.');
    while (dot >= 0) {
      parts.add(unquote(rest.substring(0, dot)));
      rest = rest.substring(dot + 1);
      dot = unquoted(rest, '.');
    }
    parts.add(unquote(rest));
    return parts;
  }

  private static String unquote(String key) {
    String k = key.strip();
    if (k.length() >= 2 && (k.startsWith("\"") || k.startsWith("'"))) {
      return k.substring(1, k.length() - 1);
    }
    return k;
  }

  private static int lastDot(String path) {
    int last = 0;
    int from = unquoted(path, '.');
    while (from >= 0) {
      last = from;
      int next = unquoted(path.substring(from + 1), '.');
      from = next < 0 ? -1 : from + 1 + next;
    }
    return last;
  }
}
