package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.core.config.ConfigurationTrees;

/** Shows the configuration of a site. */
@Parameters(
    commandDescription =
        "Show the base merged with the overlay of a site, or a document as published")
public final class ShowCommand extends Command {

  @Parameter(names = "--site", description = "Name of the site")
  private String site;

  @Parameter(
      names = "--source",
      description = "Print this document as it was published: base, or a site for its overlay")
  private String source;

  @Parameter(
      names = "--config-version",
      description = "Published version; default: the version in force")
  private Long version;

  @Override
  public int run(Session session) {
    if ((site == null) == (source == null)) {
      throw CommandFailure.usage("give either --site SITE or --source DOCUMENT");
    }
    PublishedConfigurations published = new PublishedConfigurations(session);
    long wanted = version == null ? published.head().version() : version;
    if (wanted == 0) {
      session.warn("nothing is published");
      return ExitCodes.NEGATIVE;
    }
    ConfigurationBody body = DiffCommand.require(published, wanted);
    return source == null ? showSite(session, body, wanted) : showSource(session, body, wanted);
  }

  private int showSource(Session session, ConfigurationBody body, long wanted) {
    String text = source.equals("base") ? body.base() : body.overlays().get(source);
    if (text == null) {
      session.warn("version " + wanted + " has no overlay of " + source);
      return ExitCodes.NEGATIVE;
    }
    session.print(text.stripTrailing());
    return ExitCodes.OK;
  }

  private int showSite(Session session, ConfigurationBody body, long wanted) {
    Map<String, Object> tree = ConfigurationChanges.trees(body).get(site);
    if (tree == null) {
      session.warn("version " + wanted + " has no site " + site);
      return ExitCodes.NEGATIVE;
    }
    session.print("# version " + wanted + " at site " + site);
    ConfigurationTrees.flatten(tree).forEach((path, value) -> session.print(path + " = " + value));
    return ExitCodes.OK;
  }
}
