package org.hibiscusreel.daemon.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line numbers of keys in TOML text. Jackson's TOML parser reports locations only for
 * syntax errors, so the lines of unknown, missing and mistyped keys are looked up here.
 */
public final class KeyLocator {

  private static final Pattern TABLE = Pattern.compile("^\\s*\\[\\[?\\s*([^\\]#]+?)\\s*\\]");
  private static final Pattern ENTRY =
      Pattern.compile("^\\s*((?:\"[^\"]*\"|'[^']*'|[A-Za-z0-9_.\\-])+)\\s*=");

  private final Map<String, Integer> lines = new HashMap<>();

  /**
   * Indexes the keys of a text.
   *
   * @param text TOML text, may be empty
   */
  public KeyLocator(String text) {
    String table = "";
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      Matcher header = TABLE.matcher(line);
      Matcher entry = ENTRY.matcher(line);
      if (header.find()) {
        table = normalize(header.group(1));
        lines.putIfAbsent(table, number);
      } else if (entry.find()) {
        String key = normalize(entry.group(1));
        lines.putIfAbsent(table.isEmpty() ? key : table + "." + key, number);
      }
    }
  }

  /**
   * Returns the line of a key, or of the nearest enclosing table that has one.
   *
   * @param path parts of the key
   * @return line from 1, or 0 if neither the key nor an enclosing table occurs
   */
  public int lineOf(List<String> path) {
    for (int n = path.size(); n > 0; n--) {
      Integer line = lines.get(String.join(".", path.subList(0, n)));
      if (line != null) {
        return line;
      }
    }
    return 0;
  }

  private static String normalize(String key) {
    return key.replace("\"", "").replace("'", "").replaceAll("\\s*\\.\\s*", ".");
  }
}
