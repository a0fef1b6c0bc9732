package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/** Commands of the group {@code hosts}. */
public final class HostCommands {

  private static final int MAX_ATTEMPTS = 10;

  private HostCommands() {}

  /** Lists the hosts of the platform and the recorded incarnations. */
  @Parameters(commandDescription = "List the hosts of the platform and the recorded incarnations")
  public static final class ListHosts extends Command {

    @Parameter(names = "--all", description = "Include closed and recovered incarnations")
    private boolean all;

    @Override
    public int run(CommandContext context) {
      Optional<HostList.Listing> listing = context.await(context.platform().hosts().fetch());
      if (listing.isEmpty()) {
        throw CommandException.platformUnreachable("the host list could not be read");
      }
      for (HostList.Host host : listing.get().hosts()) {
        context.print(
            "host "
                + host.host()
                + " failure_domain="
                + host.failureDomain()
                + " peer="
                + host.peerAddress()
                + " state="
                + lowerCaseName(host.state()));
      }
      for (Row row : context.scan("incarnation/")) {
        IncarnationRow value = Json.read(row.value(), IncarnationRow.class);
        boolean open =
            value.state() == IncarnationState.LIVE || value.state() == IncarnationState.DEAD;
        if (all || open) {
          context.print(format(TableKeys.lastPart(row.key()), value));
        }
      }
      return ExitCodes.OK;
    }

    private static String format(String id, IncarnationRow row) {
      return "incarnation "
          + id
          + " host="
          + row.host()
          + " failure_domain="
          + row.failureDomain()
          + " site="
          + row.site()
          + " state="
          + lowerCaseName(row.state())
          + " started="
          + Instant.ofEpochMilli(row.startedAtMillis())
          + (row.proof().isEmpty() ? "" : " proof=\"" + row.proof() + '"');
    }
  }

  /** Records an operator's confirmation that the process of an incarnation has ended. */
  @Parameters(
      commandDescription =
          "Record that the process of an incarnation has ended and will never run again")
  public static final class ConfirmDead extends Command {

    @Parameter(description = "INCARNATION", required = true)
    private String incarnation;

    @Parameter(
        names = "--reason",
        required = true,
        description = "Evidence that the process has ended")
    private String reason;

    @Override
    public int run(CommandContext context) {
      String key = TableKeys.incarnation(incarnation);
      String proof = "operator: " + reason;
      String failure = "";
      for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
        Optional<Row> row = context.read(key);
        if (row.isEmpty()) {
          context.printMessage("incarnation " + incarnation + " does not exist");
          return ExitCodes.FAILURE;
        }
        IncarnationRow value = Json.read(row.get().value(), IncarnationRow.class);
        if (value.state() != IncarnationState.LIVE) {
          context.print(incarnation + " is " + lowerCaseName(value.state()) + ": " + value.proof());
          return value.state() == IncarnationState.CLOSED ? ExitCodes.FAILURE : ExitCodes.OK;
        }
        String dead = Json.write(value.with(IncarnationState.DEAD, proof));
        WriteResult result =
            context.await(
                context
                    .platform()
                    .table()
                    .transact(List.of(Mutation.replace(key, row.get().version(), dead))));
        if (result instanceof WriteResult.Committed) {
          context.print(incarnation + " is dead: " + proof);
          return ExitCodes.OK;
        }
        failure = result.toString();
        context.waitBeforeRetry();
      }
      throw CommandException.platformUnreachable(failure);
    }
  }

  private static String lowerCaseName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
