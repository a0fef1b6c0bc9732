package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Optional;
import org.hibiscusreel.coordination.config.ConfigurationVersion;

/** Lists published versions. */
@Parameters(commandDescription = "List the published versions, newest first")
public final class HistoryCommand extends Command {

  @Parameter(names = "--limit", description = "Largest number of versions")
  private int limit = 20;

  @Override
  public int run(Session session) {
    if (limit < 1) {
      throw CommandFailure.usage("--limit must be positive");
    }
    PublishedConfigurations published = new PublishedConfigurations(session);
    long newest = published.head().version();
    for (long v = newest; v > 0 && v > newest - limit; v--) {
      Optional<ConfigurationVersion> version = published.version(v);
      session.print(
          version
              .map(found -> ConfigurationChanges.describe(found) + " digest " + found.digest())
              .orElse("version " + v + " has no row"));
    }
    return ExitCodes.OK;
  }
}
