package org.hibiscusreel.coordination.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ConfigurationError;
import org.hibiscusreel.core.config.ConfigurationReader;
import org.hibiscusreel.core.config.ConfigurationResult;
import org.hibiscusreel.core.config.ConfigurationTrees;

/** Parses, merges and validates a whole configuration with all of its overlays. */
public final class ConfigurationCompiler {

  private static final String BASE = "base";

  private ConfigurationCompiler() {}

  /** Outcome of compiling. */
  public sealed interface Result {

    /**
     * The configuration is valid at every site.
     *
     * @param bySite configurations in force by site
     * @param trees merged trees by site
     */
    record Compiled(Map<String, Configuration> bySite, Map<String, Map<String, Object>> trees)
        implements Result {}

    /**
     * The configuration is not valid.
     *
     * @param errors all errors, each with file, line and key
     */
    record Invalid(List<String> errors) implements Result {

      /** Copies the list. */
      public Invalid {
        errors = List.copyOf(errors);
      }
    }
  }

  /**
   * Compiles a body. Error messages name the files {@code base} and by their site.
   *
   * @param body the body
   * @param version version to give to the configurations, positive
   * @return the configurations, or all errors
   * @throws NullPointerException if the body is null
   */
  public static Result compile(ConfigurationBody body, long version) {
    return compile(body, version, Map.of());
  }

  /**
   * Compiles a body.
   *
   * @param body the body
   * @param version version to give to the configurations, positive
   * @param fileNames file names for error messages, by {@code base} or site; defaults to the key
   * @return the configurations, or all errors
   * @throws NullPointerException if an argument is null
   */
  public static Result compile(
      ConfigurationBody body, long version, Map<String, String> fileNames) {
    Set<String> errors = new LinkedHashSet<>();
    TomlFile base = parse(fileNames.getOrDefault(BASE, BASE), body.base(), errors);
    Map<String, TomlFile> overlays = new TreeMap<>();
    body.overlays()
        .forEach(
            (site, text) ->
                overlays.put(site, parse(fileNames.getOrDefault(site, site), text, errors)));
    if (!errors.isEmpty()) {
      return new Result.Invalid(List.copyOf(errors));
    }
    return merge(base, overlays, version);
  }

  private static TomlFile parse(String name, String text, Set<String> errors) {
    TomlFile.Result result = TomlFile.parse(name, text);
    if (result instanceof TomlFile.Result.Parsed parsed) {
      return parsed.file();
    }
    errors.add(((TomlFile.Result.Malformed) result).message());
    return null;
  }

  private static Result merge(TomlFile base, Map<String, TomlFile> overlays, long version) {
    Map<String, Configuration> bySite = new TreeMap<>();
    Map<String, Map<String, Object>> trees = new TreeMap<>();
    Set<String> errors = new LinkedHashSet<>();
    Set<String> sites = new LinkedHashSet<>(overlays.keySet());
    sites.addAll(sitesOf(base));
    sites.forEach(
        site -> {
          TomlFile overlay = overlays.get(site);
          List<TomlFile> files = new ArrayList<>(List.of(base));
          Map<String, Object> tree = base.tree();
          if (overlay != null) {
            files.add(overlay);
            tree = ConfigurationTrees.merge(tree, overlay.tree());
          }
          ConfigurationResult result = checkSite(site, ConfigurationReader.read(tree, version));
          if (result instanceof ConfigurationResult.Valid valid) {
            bySite.put(site, valid.configuration());
            trees.put(site, tree);
          } else if (result instanceof ConfigurationResult.Invalid invalid) {
            errors.addAll(TomlFile.describe(invalid.errors(), files));
          }
        });
    if (sites.isEmpty()
        && ConfigurationReader.read(base.tree(), version)
            instanceof ConfigurationResult.Invalid invalid) {
      errors.addAll(TomlFile.describe(invalid.errors(), List.of(base)));
    }
    return errors.isEmpty()
        ? new Result.Compiled(bySite, trees)
        : new Result.Invalid(List.copyOf(errors));
  }

  /**
   * Returns an error if the merged configuration of a site does not define the site, as with an
   * overlay for an unknown site.
   */
  private static ConfigurationResult checkSite(String site, ConfigurationResult result) {
    if (result instanceof ConfigurationResult.Valid valid
        && !valid.configuration().sites().containsKey(site)) {
      return new ConfigurationResult.Invalid(
          List.of(
              new ConfigurationError(
                  ConfigurationTrees.child("sites", site),
                  "the overlay belongs to a site that does not exist")));
    }
    return result;
  }

  private static Set<String> sitesOf(TomlFile base) {
    Set<String> sites = new LinkedHashSet<>();
    if (base.tree().get("sites") instanceof Map<?, ?> table) {
      table.keySet().forEach(name -> sites.add(String.valueOf(name)));
    }
    return sites;
  }
}
