package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Optional;
import org.hibiscusreel.coordination.config.ConfigurationVersion;

/** Lists the published versions of the configuration. */
@Parameters(commandDescription = "List the published configuration versions, newest first")
public final class HistoryCommand extends Command {

  @Parameter(names = "--limit", description = "Maximum number of versions to list")
  private int limit = 20;

  @Override
  public int run(CommandContext context) {
    if (limit < 1) {
      throw CommandException.usageError("--limit must be positive");
    }
    PublishedConfigurations published = new PublishedConfigurations(context);
    long newest = published.readHead().version();
    for (long number = newest; number > 0 && number > newest - limit; number--) {
      Optional<ConfigurationVersion> version = published.readVersion(number);
      context.print(
          version
              .map(found -> ConfigurationChanges.describe(found) + " digest " + found.digest())
              .orElse("version " + number + " has no row in the table"));
    }
    return ExitCodes.OK;
  }
}
