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

/** The subcommands of {@code hosts}. */
public final class HostCommands {

  private static final int MAX_ATTEMPTS = 10;

  private HostCommands() {}

  /** Lists hosts and incarnations. */
  @Parameters(commandDescription = "List the hosts of the platform and the recorded incarnations")
  public static final class ListHosts extends Command {

    @Parameter(names = "--all", description = "List closed and recovered incarnations too")
    private boolean all;

    @Override
    public int run(Session session) {
      Optional<HostList.Listing> listing = session.await(session.platform().hosts().fetch());
      if (listing.isEmpty()) {
        throw CommandFailure.unreachable("the host list gave no answer");
      }
      for (HostList.Host host : listing.get().hosts()) {
        session.print(
            "host "
                + host.host()
                + " failure_domain="
                + host.failureDomain()
                + " peer="
                + host.peerAddress()
                + " state="
                + lower(host.state()));
      }
      for (Row row : session.scan("incarnation/")) {
        IncarnationRow value = Json.read(row.value(), IncarnationRow.class);
        boolean open =
            value.state() == IncarnationState.LIVE || value.state() == IncarnationState.DEAD;
        if (all || open) {
          session.print(line(TableKeys.lastPart(row.key()), value));
        }
      }
      return ExitCodes.OK;
    }

    private static String line(String id, IncarnationRow row) {
      return "incarnation "
          + id
          + " host="
          + row.host()
          + " failure_domain="
          + row.failureDomain()
          + " site="
          + row.site()
          + " state="
          + lower(row.state())
          + " started="
          + Instant.ofEpochMilli(row.startedAtMillis())
          + (row.proof().isEmpty() ? "" : " proof=\"" + row.proof() + '"');
    }
  }

  /** Records the proof of a death that only an operator can give. */
  @Parameters(
      commandDescription =
          "Record that the process of an incarnation has ended and will never run again")
  public static final class ConfirmDead extends Command {

    @Parameter(description = "INCARNATION", required = true)
    private String incarnation;

    @Parameter(names = "--reason", required = true, description = "How you know it")
    private String reason;

    @Override
    public int run(Session session) {
      String key = TableKeys.incarnation(incarnation);
      String proof = "operator: " + reason;
      String failure = "";
      for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
        Optional<Row> row = session.read(key);
        if (row.isEmpty()) {
          session.warn("the incarnation " + incarnation + " does not exist");
          return ExitCodes.NEGATIVE;
        }
        IncarnationRow value = Json.read(row.get().value(), IncarnationRow.class);
        if (value.state() != IncarnationState.LIVE) {
          session.print(incarnation + " is " + lower(value.state()) + ": " + value.proof());
          return value.state() == IncarnationState.CLOSED ? ExitCodes.NEGATIVE : ExitCodes.OK;
        }
        String dead = Json.write(value.with(IncarnationState.DEAD, proof));
        WriteResult result =
            session.await(
                session
                    .platform()
                    .table()
                    .transact(List.of(Mutation.replace(key, row.get().version(), dead))));
        if (result instanceof WriteResult.Committed) {
          session.print(incarnation + " is dead: " + proof);
          return ExitCodes.OK;
        }
        failure = result.toString();
        session.pause();
      }
      throw CommandFailure.unreachable(failure);
    }
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
