package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.OptionalLong;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;

/** Publishes a configuration version. */
@Parameters(commandDescription = "Publish a configuration as the next version")
public final class PublishCommand extends ConfigurationFilesCommand {

  @Parameter(names = "--author", required = true, description = "Author of the version")
  private String author;

  @Parameter(names = "--note", required = true, description = "Reason for the change")
  private String note;

  @Parameter(
      names = "--expect-version",
      description = "Version that the files are based on (0: none); default: the current version")
  private Long expectVersion;

  @Override
  public int run(CommandContext context) {
    ConfigurationBody body = readBody(context);
    if (compile(body) instanceof ConfigurationCompiler.Result.Invalid invalid) {
      invalid.errors().forEach(context::printMessage);
      return ExitCodes.FAILURE;
    }
    ConfigurationChanges changes = new ConfigurationChanges(context);
    OptionalLong expected =
        expectVersion == null ? OptionalLong.empty() : OptionalLong.of(expectVersion);
    return changes.publish(body, author, note, expected, List.of());
  }
}
