package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.core.config.ConfigurationTrees;

/** Shows the merged configuration of a site, or a document as published. */
@Parameters(
    commandDescription = "Show the merged configuration of a site, or a document as published")
public final class ShowCommand extends Command {

  @Parameter(names = "--site", description = "Name of the site")
  private String site;

  @Parameter(
      names = "--source",
      description = "Print the published document: base, or the name of a site for its overlay")
  private String source;

  @Parameter(
      names = "--config-version",
      description = "Published version; default: the current version")
  private Long version;

  @Override
  public int run(CommandContext context) {
    if ((site == null) == (source == null)) {
      throw CommandException.usageError(
          "exactly one of --site SITE and --source DOCUMENT is required");
    }
    PublishedConfigurations published = new PublishedConfigurations(context);
    long requestedVersion = version == null ? published.readHead().version() : version;
    if (requestedVersion == 0) {
      context.printMessage("no configuration has been published");
      return ExitCodes.FAILURE;
    }
    ConfigurationBody body = DiffCommand.requireBody(published, requestedVersion);
    return source == null
        ? showSite(context, body, requestedVersion)
        : showSource(context, body, requestedVersion);
  }

  private int showSource(CommandContext context, ConfigurationBody body, long requestedVersion) {
    String text = source.equals("base") ? body.base() : body.overlays().get(source);
    if (text == null) {
      context.printMessage("version " + requestedVersion + " has no overlay for site " + source);
      return ExitCodes.FAILURE;
    }
    context.print(text.stripTrailing());
    return ExitCodes.OK;
  }

  private int showSite(CommandContext context, ConfigurationBody body, long requestedVersion) {
    Map<String, Object> tree = ConfigurationChanges.mergedTrees(body).get(site);
    if (tree == null) {
      context.printMessage("version " + requestedVersion + " has no site " + site);
      return ExitCodes.FAILURE;
    }
    context.print("# version " + requestedVersion + " at site " + site);
    ConfigurationTrees.flatten(tree).forEach((path, value) -> context.print(path + " = " + value));
    return ExitCodes.OK;
  }
}
