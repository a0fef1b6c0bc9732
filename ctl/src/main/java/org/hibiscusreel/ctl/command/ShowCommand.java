package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;
import org.hibiscusreel.core.config.ConfigurationTrees;

/** Shows the configuration of a site. */
@Parameters(commandDescription = "Show the base merged with the overlay of a site")
public final class ShowCommand extends Command {

  @Parameter(names = "--site", required = true, description = "Name of the site")
  private String site;

  @Parameter(
      names = "--config-version",
      description = "Published version; default: the version in force")
  private Long version;

  @Override
  public int run(Session session) {
    PublishedConfigurations published = new PublishedConfigurations(session);
    long wanted = version == null ? published.head().version() : version;
    if (wanted == 0) {
      session.warn("nothing is published");
      return ExitCodes.NEGATIVE;
    }
    Map<String, Object> tree =
        ConfigurationChanges.trees(DiffCommand.require(published, wanted)).get(site);
    if (tree == null) {
      session.warn("version " + wanted + " has no site " + site);
      return ExitCodes.NEGATIVE;
    }
    session.print("# version " + wanted + " at site " + site);
    ConfigurationTrees.flatten(tree).forEach((path, value) -> session.print(path + " = " + value));
    return ExitCodes.OK;
  }
}
