package org.hibiscusreel.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscusreel.core.config.ConfigurationChange;
import org.hibiscusreel.core.config.ConfigurationTrees;

/** Lists the differences between two published configurations as they take effect at each site. */
public final class ConfigurationDifference {

  private ConfigurationDifference() {}

  /**
   * Lists the differences.
   *
   * @param before merged trees by site before, empty if nothing was published
   * @param after merged trees by site after
   * @return one line for each changed path, prefixed by {@code all sites} or the names of the sites
   */
  public static List<String> lines(
      Map<String, Map<String, Object>> before, Map<String, Map<String, Object>> after) {
    TreeSet<String> sites = new TreeSet<>(before.keySet());
    sites.addAll(after.keySet());
    Map<String, List<String>> sitesByChange = new TreeMap<>();
    Map<String, ConfigurationChange> changes = new TreeMap<>();
    for (String site : sites) {
      List<ConfigurationChange> found =
          ConfigurationTrees.difference(
              before.getOrDefault(site, Map.of()), after.getOrDefault(site, Map.of()));
      for (ConfigurationChange change : found) {
        String key = change.path() + '\n' + change;
        changes.put(key, change);
        sitesByChange.computeIfAbsent(key, k -> new ArrayList<>()).add(site);
      }
    }
    List<String> lines = new ArrayList<>();
    changes.forEach(
        (key, change) -> {
          List<String> where = sitesByChange.get(key);
          String label = where.size() == sites.size() ? "all sites" : String.join(", ", where);
          lines.add(label + ": " + change);
        });
    return lines;
  }
}
