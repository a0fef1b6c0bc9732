package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.ledger.Bill;

/** The subcommands of {@code requests}. */
public final class RequestCommands {

  private RequestCommands() {}

  /** Shows what the platform knows of a request. */
  @Parameters(commandDescription = "Show the outcome, the claim and the bills of a request")
  public static final class Show extends Command {

    @Parameter(description = "ACCOUNT ID", required = true)
    private List<String> names = new ArrayList<>();

    @Override
    public int run(Session session) {
      if (names.size() != 2) {
        throw CommandFailure.usage("give the client account and the request identifier");
      }
      String account = names.get(0);
      String id = names.get(1);
      Optional<ClaimRow> claim =
          session
              .read(TableKeys.claim(account, id))
              .map(row -> Json.read(row.value(), ClaimRow.class));
      List<Row> bills = new ArrayList<>();
      session.read(TableKeys.bill(account, id)).ifPresent(bills::add);
      bills.addAll(session.scan(TableKeys.bill(account, id + "~")));
      session.print("outcome: " + outcome(claim, bills));
      claim.ifPresent(row -> session.print(describe(row)));
      bills.forEach(
          row ->
              session.print(
                  describe(TableKeys.lastPart(row.key()), Json.read(row.value(), Bill.class))));
      return claim.isEmpty() && bills.isEmpty() ? ExitCodes.NEGATIVE : ExitCodes.OK;
    }

    private static String outcome(Optional<ClaimRow> claim, List<Row> bills) {
      if (claim.isPresent()) {
        ClaimState state = claim.get().state();
        return switch (state) {
          case FINISHED -> "executed once";
          case WITHDRAWN -> "not executed by the attempt that held the claim";
          case CLAIMED -> bills.isEmpty() ? "not known yet" : "executed once";
        };
      }
      return bills.isEmpty() ? "the platform has no trace of it" : "served and billed";
    }

    private static String describe(ClaimRow row) {
      return "claim: "
          + row.state().name().toLowerCase(Locale.ROOT)
          + " by "
          + row.incarnation()
          + " at "
          + Instant.ofEpochMilli(row.atMillis())
          + " status "
          + row.status();
    }

    private static String describe(String rowId, Bill bill) {
      return "bill "
          + rowId
          + ": "
          + bill.tokens()
          + " tokens of "
          + bill.budget()
          + " for "
          + bill.target()
          + " by "
          + bill.server()
          + " at "
          + Instant.ofEpochMilli(bill.finishedAtMillis())
          + " late "
          + bill.lateMillis()
          + " ms";
    }
  }
}
