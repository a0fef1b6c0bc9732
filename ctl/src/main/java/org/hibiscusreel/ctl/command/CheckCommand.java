package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.hibiscusreel.daemon.settings.SettingsException;
import org.hibiscusreel.daemon.settings.SettingsReader;

/** Validates local files without contacting the platform. */
@Parameters(
    commandDescription =
        "Validate the settings of a daemon, or a base configuration with its overlays")
public final class CheckCommand extends ConfigurationFilesCommand {

  @Parameter(names = "--settings", description = "Settings file of a daemon")
  private String settings;

  @Override
  public int run(CommandContext context) {
    if (settings == null && !hasBase()) {
      throw CommandException.usageError("--settings FILE or --base FILE is required");
    }
    boolean valid = settings == null || checkSettings(context);
    if (hasBase()) {
      valid &= checkConfiguration(context);
    }
    return valid ? ExitCodes.OK : ExitCodes.FAILURE;
  }

  private boolean checkSettings(CommandContext context) {
    try {
      DaemonSettings daemonSettings = SettingsReader.read(Path.of(settings));
      context.print("the settings of host " + daemonSettings.host().name() + " are valid");
      return true;
    } catch (SettingsException e) {
      context.printMessage(e.getMessage());
      return false;
    }
  }

  private boolean checkConfiguration(CommandContext context) {
    ConfigurationCompiler.Result result = compile(readBody(context));
    if (result instanceof ConfigurationCompiler.Result.Invalid invalid) {
      invalid.errors().forEach(context::printMessage);
      return false;
    }
    ((ConfigurationCompiler.Result.Compiled) result)
        .bySite()
        .forEach(
            (site, configuration) ->
                context.print(
                    site
                        + ": valid, "
                        + configuration.upstreams().size()
                        + " upstreams, "
                        + configuration.models().size()
                        + " models, "
                        + configuration.services().size()
                        + " plain services, "
                        + configuration.accounts().size()
                        + " client accounts"));
    return true;
  }
}
