package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.config.ConfigurationBody;

/** Shows differences of configurations. */
@Parameters(
    commandDescription = "Show what files, or a version, would change against a published version")
public final class DiffCommand extends ConfigurationFiles {

  @Parameter(
      names = "--from",
      description = "Version to compare with (0: nothing); default: the version in force")
  private Long from;

  @Parameter(names = "--to", description = "Version to compare instead of files")
  private Long to;

  @Override
  public int run(Session session) {
    if (hasBase() == (to != null)) {
      throw CommandFailure.usage("give either --base FILE or --to VERSION");
    }
    PublishedConfigurations published = new PublishedConfigurations(session);
    ConfigurationBody after = to == null ? body(session) : require(published, to);
    Map<String, Map<String, Object>> trees = ConfigurationChanges.trees(after);
    long base = from == null ? published.head().version() : from;
    List<String> lines =
        ConfigurationChanges.difference(
            base == 0 ? Map.of() : ConfigurationChanges.trees(require(published, base)), trees);
    lines.forEach(session::print);
    session.warn(lines.size() + " differences from version " + base);
    return ExitCodes.OK;
  }

  static ConfigurationBody require(PublishedConfigurations published, long version) {
    return published
        .bodyOf(version)
        .orElseThrow(
            () -> new CommandFailure(ExitCodes.NEGATIVE, "version " + version + " does not exist"));
  }
}
