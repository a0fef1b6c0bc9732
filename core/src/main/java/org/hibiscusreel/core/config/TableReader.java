package org.hibiscusreel.core.config;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads one table of a configuration tree. Collects all errors instead of stopping at the first
 * one.
 */
final class TableReader {

  private static final int MAX_NAME_LENGTH = 128;

  private final String path;
  private final Map<String, Object> values;
  private final List<ConfigurationError> errors;
  private final Set<String> known = new HashSet<>();

  TableReader(String path, Map<String, Object> values, List<ConfigurationError> errors) {
    this.path = path;
    this.values = values;
    this.errors = errors;
  }

  /** Returns the path of a key of this table. */
  String childPath(String key) {
    return ConfigurationTrees.child(path, key);
  }

  /** Records an error for a key. */
  void error(String key, String message) {
    errors.add(new ConfigurationError(childPath(key), message));
  }

  /** Reads an integer. Returns {@code defaultValue} if the key is missing or invalid. */
  long integer(String key, long min, long max, long defaultValue) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Integer || value instanceof Long || value instanceof BigInteger)) {
      error(key, "must be a whole number");
      return defaultValue;
    }
    BigInteger n = new BigInteger(value.toString());
    if (n.compareTo(BigInteger.valueOf(min)) < 0 || n.compareTo(BigInteger.valueOf(max)) > 0) {
      error(key, "must be between " + min + " and " + max + " but is " + n);
      return defaultValue;
    }
    return n.longValue();
  }

  /** Reads a number. Returns {@code defaultValue} if the key is missing or invalid. */
  double number(String key, double min, double max, double defaultValue) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Number n)) {
      error(key, "must be a number");
      return defaultValue;
    }
    double d = n.doubleValue();
    if (!(d >= min && d <= max)) {
      error(key, "must be between " + min + " and " + max + " but is " + d);
      return defaultValue;
    }
    return d;
  }

  /** Reads a Boolean. Returns {@code defaultValue} if the key is missing or invalid. */
  boolean bool(String key, boolean defaultValue) {
    Object value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Boolean b) {
      return b;
    }
    error(key, "must be true or false");
    return defaultValue;
  }

  /** Records an error and returns false if a key is missing. */
  boolean require(String key) {
    if (get(key) == null) {
      error(key, "is missing");
      return false;
    }
    return true;
  }

  /** Reads a required string. Returns an empty string if the key is missing or invalid. */
  String text(String key) {
    if (!require(key)) {
      return "";
    }
    if (get(key) instanceof String s && !s.isEmpty()) {
      return s;
    }
    error(key, "must be a text that is not empty");
    return "";
  }

  /** Reads a required list of strings, which must not be empty. */
  List<String> texts(String key) {
    if (!require(key)) {
      return List.of();
    }
    if (!(get(key) instanceof List<?> list) || list.isEmpty()) {
      error(key, "must be a list with at least one text");
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (Object item : list) {
      if (item instanceof String s && !s.isEmpty()) {
        if (texts.contains(s)) {
          error(key, "lists \"" + s + "\" twice");
        }
        texts.add(s);
      } else {
        error(key, "must contain only texts that are not empty");
      }
    }
    return texts;
  }

  /** Reads a nested table. Returns an empty table if the key is missing or invalid. */
  TableReader table(String key) {
    return new TableReader(childPath(key), asTable(key, get(key)), errors);
  }

  /** Reads a table of named tables. */
  Map<String, TableReader> tables(String key) {
    TableReader table = table(key);
    Map<String, TableReader> entries = new LinkedHashMap<>();
    for (String name : table.values.keySet()) {
      if (isName(name)) {
        entries.put(name, table.table(name));
      } else {
        table.error(
            name, "a name has 1 to " + MAX_NAME_LENGTH + " characters without spaces and controls");
      }
    }
    return entries;
  }

  /** Records an error for each key that was not read. */
  void finish() {
    for (String key : values.keySet()) {
      if (!known.contains(key)) {
        error(key, "is not a known key");
      }
    }
  }

  private static boolean isName(String name) {
    return !name.isEmpty()
        && name.length() <= MAX_NAME_LENGTH
        && name.chars().noneMatch(c -> c <= ' ' || c == 0x7f);
  }

  @SuppressWarnings("unchecked")
  private Map<String, Object> asTable(String key, Object value) {
    if (value == null) {
      return Map.of();
    }
    if (value instanceof Map<?, ?> table) {
      return (Map<String, Object>) table;
    }
    error(key, "must be a table");
    return Map.of();
  }

  private Object get(String key) {
    known.add(key);
    return values.get(key);
  }
}
