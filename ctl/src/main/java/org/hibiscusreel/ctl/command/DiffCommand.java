package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.config.ConfigurationBody;

/** Shows the differences between two configurations. */
@Parameters(
    commandDescription = "Show the differences of files, or of a version, to a published version")
public final class DiffCommand extends ConfigurationFilesCommand {

  @Parameter(
      names = "--from",
      description =
          "Version to compare with (0: empty configuration); default: the current version")
  private Long from;

  @Parameter(names = "--to", description = "Published version to compare, instead of files")
  private Long to;

  @Override
  public int run(CommandContext context) {
    if (hasBase() == (to != null)) {
      throw CommandException.usageError("exactly one of --base FILE and --to VERSION is required");
    }
    PublishedConfigurations published = new PublishedConfigurations(context);
    ConfigurationBody after = to == null ? readBody(context) : requireBody(published, to);
    Map<String, Map<String, Object>> afterTrees = ConfigurationChanges.mergedTrees(after);
    long base = from == null ? published.readHead().version() : from;
    List<String> lines =
        ConfigurationChanges.differenceLines(
            base == 0 ? Map.of() : ConfigurationChanges.mergedTrees(requireBody(published, base)),
            afterTrees);
    lines.forEach(context::print);
    context.printMessage(lines.size() + " differences from version " + base);
    return ExitCodes.OK;
  }

  static ConfigurationBody requireBody(PublishedConfigurations published, long version) {
    return published
        .readBodyOfVersion(version)
        .orElseThrow(
            () ->
                new CommandException(ExitCodes.FAILURE, "version " + version + " does not exist"));
  }
}
