package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.security.SecureRandom;
import java.util.OptionalLong;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.config.ConfigurationPublisher;
import org.hibiscusreel.coordination.config.PublishResult;
import org.hibiscusreel.coordination.config.UpstreamEdit;

/** Commands of the group {@code upstreams}. */
public final class UpstreamCommands {

  private static final int MAX_ATTEMPTS = 5;

  private UpstreamCommands() {}

  /** A command that sets or clears the leaving flag of an upstream. */
  abstract static class SetLeavingCommand extends Command {

    @Parameter(description = "UPSTREAM", required = true)
    private String upstream;

    @Parameter(names = "--author", description = "Author of the change")
    private String author = System.getProperty("user.name", "operator");

    @Parameter(names = "--note", description = "Reason for the change; default: the command")
    private String note;

    abstract boolean leaving();

    /**
     * Publishes the change. On a conflict, applies it again to the version that was published
     * first.
     */
    @Override
    public final int run(CommandContext context) {
      SecureRandom random = new SecureRandom();
      PublishedConfigurations published = new PublishedConfigurations(context);
      for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
        ConfigurationHead head = published.readHead();
        if (head.version() == 0) {
          context.printMessage("no configuration has been published");
          return ExitCodes.FAILURE;
        }
        UpstreamEdit.Result edit =
            UpstreamEdit.setLeaving(published.readBody(head.digest()), upstream, leaving());
        if (edit instanceof UpstreamEdit.Result.Unchanged) {
          context.print(upstream + " already has this state in version " + head.version());
          return ExitCodes.OK;
        }
        if (edit instanceof UpstreamEdit.Result.Refused refused) {
          context.printMessage(refused.reason());
          return ExitCodes.FAILURE;
        }
        ConfigurationPublisher publisher =
            new ConfigurationPublisher(
                context.platform().scheduler(),
                context.platform().table(),
                context.platform().objects(),
                random::nextLong);
        String publicationNote =
            note == null ? (leaving() ? "drain " : "return ") + "upstream " + upstream : note;
        PublishResult result =
            context.await(
                publisher.publish(
                    ((UpstreamEdit.Result.Edited) edit).body(),
                    author,
                    publicationNote,
                    OptionalLong.of(head.version())));
        if (!(result instanceof PublishResult.Conflict)) {
          return new ConfigurationChanges(context).printResult(result, head.version());
        }
        context.printMessage("another version was published concurrently; retrying");
      }
      context.printMessage(
          "conflict: the configuration changed on every attempt; nothing was published");
      return ExitCodes.FAILURE;
    }
  }

  /** Takes an upstream out of service. */
  @Parameters(
      commandDescription = "Mark an upstream as leaving, so that it receives no new requests")
  public static final class Drain extends SetLeavingCommand {

    @Override
    boolean leaving() {
      return true;
    }
  }

  /** Returns an upstream to service. */
  @Parameters(commandDescription = "Return a drained upstream to service")
  public static final class Return extends SetLeavingCommand {

    @Override
    boolean leaving() {
      return false;
    }
  }
}
