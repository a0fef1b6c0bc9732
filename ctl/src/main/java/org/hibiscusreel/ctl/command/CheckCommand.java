package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.hibiscusreel.daemon.settings.SettingsException;
import org.hibiscusreel.daemon.settings.SettingsReader;

/** Checks files without the platform. */
@Parameters(commandDescription = "Check a daemon's settings, or a base and overlays")
public final class CheckCommand extends ConfigurationFiles {

  @Parameter(names = "--settings", description = "File of the settings of a daemon")
  private String settings;

  @Override
  public int run(Session session) {
    if (settings == null && !hasBase()) {
      throw CommandFailure.usage("give --settings FILE or --base FILE");
    }
    boolean valid = settings == null || checkSettings(session);
    if (hasBase()) {
      valid &= checkConfiguration(session);
    }
    return valid ? ExitCodes.OK : ExitCodes.NEGATIVE;
  }

  private boolean checkSettings(Session session) {
    try {
      DaemonSettings read = SettingsReader.read(Path.of(settings));
      session.print("the settings of host " + read.host().name() + " are valid");
      return true;
    } catch (SettingsException e) {
      session.warn(e.getMessage());
      return false;
    }
  }

  private boolean checkConfiguration(Session session) {
    ConfigurationCompiler.Result result = compile(body(session));
    if (result instanceof ConfigurationCompiler.Result.Invalid invalid) {
      invalid.errors().forEach(session::warn);
      return false;
    }
    ((ConfigurationCompiler.Result.Compiled) result)
        .bySite()
        .forEach(
            (site, c) ->
                session.print(
                    site
                        + ": valid, "
                        + c.upstreams().size()
                        + " upstreams, "
                        + c.models().size()
                        + " models, "
                        + c.services().size()
                        + " plain services, "
                        + c.accounts().size()
                        + " client accounts"));
    return true;
  }
}
