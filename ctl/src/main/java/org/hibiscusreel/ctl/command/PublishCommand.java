package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.OptionalLong;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;

/** Publishes a configuration. */
@Parameters(commandDescription = "Publish a configuration as the next version")
public final class PublishCommand extends ConfigurationFiles {

  @Parameter(names = "--author", required = true, description = "Who publishes")
  private String author;

  @Parameter(names = "--note", required = true, description = "Why it is published")
  private String note;

  @Parameter(
      names = "--expect-version",
      description =
          "Version that the files were made from (0: none); default: the version in force")
  private Long expectVersion;

  @Override
  public int run(Session session) {
    ConfigurationBody body = body(session);
    if (compile(body) instanceof ConfigurationCompiler.Result.Invalid invalid) {
      invalid.errors().forEach(session::warn);
      return ExitCodes.NEGATIVE;
    }
    ConfigurationChanges changes = new ConfigurationChanges(session);
    OptionalLong expected =
        expectVersion == null ? OptionalLong.empty() : OptionalLong.of(expectVersion);
    return changes.publish(body, author, note, expected, List.of());
  }
}
