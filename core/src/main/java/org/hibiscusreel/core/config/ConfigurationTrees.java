package org.hibiscusreel.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Merges and compares configuration trees, which are maps of tables, lists and scalar values. */
public final class ConfigurationTrees {

  private static final Pattern BARE_KEY = Pattern.compile("[A-Za-z0-9_-]+");

  private ConfigurationTrees() {}

  /**
   * Applies an overlay. Tables are merged key by key; any other value of the overlay, including a
   * list, replaces the value of the base.
   *
   * @param base the base, not changed
   * @param overlay the overlay, not changed
   * @return the merged tree
   * @throws NullPointerException if an argument is null
   */
  public static Map<String, Object> merge(Map<String, Object> base, Map<String, Object> overlay) {
    Map<String, Object> merged = new LinkedHashMap<>(base);
    overlay.forEach((key, value) -> merged.merge(key, value, ConfigurationTrees::mergeValue));
    return merged;
  }

  /**
   * Returns the differences between two trees by path.
   *
   * @param before the earlier tree
   * @param after the later tree
   * @return the changed, added and removed values in the order of their paths
   */
  public static List<ConfigurationChange> difference(
      Map<String, Object> before, Map<String, Object> after) {
    Map<String, String> oldValues = flatten(before);
    Map<String, String> newValues = flatten(after);
    TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
    paths.addAll(newValues.keySet());
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String path : paths) {
      String oldValue = oldValues.getOrDefault(path, "");
      String newValue = newValues.getOrDefault(path, "");
      if (!oldValue.equals(newValue)) {
        changes.add(new ConfigurationChange(path, oldValue, newValue));
      }
    }
    return changes;
  }

  /**
   * Appends a key to a path. A key that is not a bare TOML key is quoted.
   *
   * @param path the path, empty for the root
   * @param key the key
   * @return the path of the key
   */
  public static String child(String path, String key) {
    String quotedKey =
        BARE_KEY.matcher(key).matches()
            ? key
            : '"' + key.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    return path.isEmpty() ? quotedKey : path + "." + quotedKey;
  }

  /**
   * Returns the scalar values and lists of a tree by path.
   *
   * @param tree the tree
   * @return values as TOML text by dotted path, in the order of the paths
   */
  public static Map<String, String> flatten(Map<String, Object> tree) {
    Map<String, String> values = new TreeMap<>();
    flatten("", tree, values);
    return values;
  }

  private static void flatten(String path, Map<?, ?> table, Map<String, String> values) {
    table.forEach(
        (key, value) -> {
          String childPath = child(path, String.valueOf(key));
          if (value instanceof Map<?, ?> inner && !inner.isEmpty()) {
            flatten(childPath, inner, values);
          } else {
            values.put(childPath, text(value));
          }
        });
  }

  private static String text(Object value) {
    if (value instanceof String s) {
      return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
    if (value instanceof List<?> list) {
      return list.stream().map(ConfigurationTrees::text).toList().toString();
    }
    return String.valueOf(value);
  }

  @SuppressWarnings("unchecked")
  private static Object mergeValue(Object base, Object overlay) {
    if (base instanceof Map<?, ?> baseTable && overlay instanceof Map<?, ?> overlayTable) {
      return merge((Map<String, Object>) baseTable, (Map<String, Object>) overlayTable);
    }
    return overlay;
  }
}
