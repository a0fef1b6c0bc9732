package org.hibiscusreel.coordination.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ConfigurationTrees;
import org.hibiscusreel.core.config.Upstream;

/** Edits the {@code leaving} key of an upstream in the text of a configuration. */
public final class UpstreamEdit {

  private static final Pattern LEAVING =
      Pattern.compile("(\\s*(?:\"leaving\"|leaving)\\s*=\\s*)(?:true|false)(.*)");

  private UpstreamEdit() {}

  /** Outcome of an edit. */
  public sealed interface Result {

    /**
     * The body was changed.
     *
     * @param body the changed body
     */
    record Edited(ConfigurationBody body) implements Result {}

    /** The upstream already has the requested state. */
    record Unchanged() implements Result {}

    /**
     * The change was refused.
     *
     * @param reason cause of the refusal
     */
    record Refused(String reason) implements Result {}
  }

  /**
   * Sets {@code leaving} of an upstream wherever the key is present, or else where the upstream is
   * defined. Comments and the order of lines are preserved.
   *
   * @param body the published body
   * @param upstream name of the upstream
   * @param leaving the new value
   * @return the changed body; refused if the upstream does not exist or the edit would change
   *     anything else
   */
  public static Result setLeaving(ConfigurationBody body, String upstream, boolean leaving) {
    if (!(ConfigurationCompiler.compile(body, 1)
        instanceof ConfigurationCompiler.Result.Compiled before)) {
      return new Result.Refused("the published configuration is not valid");
    }
    List<Upstream> found =
        before.bySite().values().stream()
            .map(Configuration::upstreams)
            .filter(upstreams -> upstreams.containsKey(upstream))
            .map(upstreams -> upstreams.get(upstream))
            .toList();
    if (found.isEmpty()) {
      return new Result.Refused("the upstream " + upstream + " does not exist");
    }
    if (found.stream().allMatch(u -> u.leaving() == leaving)) {
      return new Result.Unchanged();
    }
    ConfigurationBody edited = edit(body, upstream, leaving);
    return changesOnlyLeaving(before, edited, upstream, leaving)
        ? new Result.Edited(edited)
        : new Result.Refused(
            "the text of " + upstream + " can't be edited safely; publish changed files instead");
  }

  private static ConfigurationBody edit(ConfigurationBody body, String upstream, boolean leaving) {
    String table = ConfigurationTrees.child("upstreams", upstream);
    String key = table + ".leaving";
    boolean hasKey =
        definesPath(body.base(), key)
            || body.overlays().values().stream().anyMatch(text -> definesPath(text, key));
    boolean inBase = definesPath(body.base(), table);
    Map<String, String> overlays = new TreeMap<>();
    body.overlays()
        .forEach(
            (site, text) -> {
              boolean isEdited =
                  hasKey ? definesPath(text, key) : !inBase && definesPath(text, table);
              overlays.put(site, isEdited ? editText(text, table, leaving) : text);
            });
    boolean editBase = hasKey ? definesPath(body.base(), key) : inBase;
    String base = editBase ? editText(body.base(), table, leaving) : body.base();
    return new ConfigurationBody(base, overlays);
  }

  private static boolean definesPath(String text, String path) {
    return TomlLines.index(text).lineOf(path) > 0;
  }

  private static String editText(String text, String table, boolean leaving) {
    TomlLines index = TomlLines.index(text);
    List<String> lines = new ArrayList<>(Arrays.asList(text.split("\n", -1)));
    int keyLine = index.lineOf(table + ".leaving");
    if (keyLine > 0) {
      Matcher matcher = LEAVING.matcher(lines.get(keyLine - 1));
      if (matcher.matches()) {
        lines.set(keyLine - 1, matcher.group(1) + leaving + matcher.group(2));
      }
    } else {
      lines.add(index.lineOf(table), "leaving = " + leaving);
    }
    return String.join("\n", lines);
  }

  /** Returns whether an edit changed only the one key, at every site that has the upstream. */
  private static boolean changesOnlyLeaving(
      ConfigurationCompiler.Result.Compiled before,
      ConfigurationBody edited,
      String upstream,
      boolean leaving) {
    if (!(ConfigurationCompiler.compile(edited, 1)
        instanceof ConfigurationCompiler.Result.Compiled after)) {
      return false;
    }
    String path = ConfigurationTrees.child("upstreams", upstream) + ".leaving";
    for (Map.Entry<String, Configuration> entry : after.bySite().entrySet()) {
      Optional<Upstream> changed = Optional.ofNullable(entry.getValue().upstreams().get(upstream));
      boolean onlyLeaving =
          ConfigurationTrees.difference(
                  before.trees().get(entry.getKey()), after.trees().get(entry.getKey()))
              .stream()
              .allMatch(change -> change.path().equals(path));
      if (!onlyLeaving || changed.stream().anyMatch(u -> u.leaving() != leaving)) {
        return false;
      }
    }
    return true;
  }
}
