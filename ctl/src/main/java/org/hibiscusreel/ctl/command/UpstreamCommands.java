package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.security.SecureRandom;
import java.util.OptionalLong;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.config.ConfigurationPublisher;
import org.hibiscusreel.coordination.config.PublishResult;
import org.hibiscusreel.coordination.config.UpstreamEdit;

/** The subcommands of {@code upstreams}. */
public final class UpstreamCommands {

  private static final int MAX_ATTEMPTS = 5;

  private UpstreamCommands() {}

  /** A change of whether an upstream is leaving. */
  abstract static class LeavingCommand extends Command {

    @Parameter(description = "UPSTREAM", required = true)
    private String upstream;

    @Parameter(names = "--author", description = "Who changes it")
    private String author = System.getProperty("user.name", "operator");

    @Parameter(names = "--note", description = "Why it is changed; default: the command")
    private String note;

    abstract boolean leaving();

    /** Publishes the edit; after a race the edit is made again on what won. */
    @Override
    public final int run(Session session) {
      SecureRandom random = new SecureRandom();
      PublishedConfigurations published = new PublishedConfigurations(session);
      for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
        ConfigurationHead head = published.head();
        if (head.version() == 0) {
          session.warn("nothing is published");
          return ExitCodes.NEGATIVE;
        }
        UpstreamEdit.Result edit =
            UpstreamEdit.setLeaving(published.body(head.digest()), upstream, leaving());
        if (edit instanceof UpstreamEdit.Result.Unchanged) {
          session.print(upstream + " has this state already in version " + head.version());
          return ExitCodes.OK;
        }
        if (edit instanceof UpstreamEdit.Result.Refused refused) {
          session.warn(refused.reason());
          return ExitCodes.NEGATIVE;
        }
        ConfigurationPublisher publisher =
            new ConfigurationPublisher(
                session.platform().scheduler(),
                session.platform().table(),
                session.platform().objects(),
                random::nextLong);
        String why =
            note == null ? (leaving() ? "drain " : "return ") + "upstream " + upstream : note;
        PublishResult result =
            session.await(
                publisher.publish(
                    ((UpstreamEdit.Result.Edited) edit).body(),
                    author,
                    why,
                    OptionalLong.of(head.version())));
        if (!(result instanceof PublishResult.Conflict)) {
          return new ConfigurationChanges(session).report(result, head.version());
        }
        session.warn("another version was published meanwhile; trying again");
      }
      session.warn("conflict: the configuration changes too often; nothing was published");
      return ExitCodes.NEGATIVE;
    }
  }

  /** Takes an upstream out of service. */
  @Parameters(commandDescription = "Mark an upstream as leaving, so that it gets no new requests")
  public static final class Drain extends LeavingCommand {

    @Override
    boolean leaving() {
      return true;
    }
  }

  /** Returns an upstream to service. */
  @Parameters(commandDescription = "Return a drained upstream to service")
  public static final class Return extends LeavingCommand {

    @Override
    boolean leaving() {
      return false;
    }
  }
}
