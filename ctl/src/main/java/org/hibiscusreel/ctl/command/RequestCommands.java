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

/** Commands of the group {@code requests}. */
public final class RequestCommands {

  private RequestCommands() {}

  /** Shows the records of a request on the platform. */
  @Parameters(commandDescription = "Show the outcome, the claim and the bills of a request")
  public static final class Show extends Command {

    @Parameter(description = "ACCOUNT ID", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public int run(CommandContext context) {
      if (arguments.size() != 2) {
        throw CommandException.usageError(
            "the client account and the request identifier are required");
      }
      String account = arguments.get(0);
      String id = arguments.get(1);
      Optional<ClaimRow> claim =
          context
              .read(TableKeys.claim(account, id))
              .map(row -> Json.read(row.value(), ClaimRow.class));
      List<Row> bills = new ArrayList<>();
      context.read(TableKeys.bill(account, id)).ifPresent(bills::add);
      bills.addAll(context.scan(TableKeys.bill(account, id + "~")));
      context.print("outcome: " + outcome(claim, bills));
      claim.ifPresent(row -> context.print(describe(row)));
      bills.forEach(
          row ->
              context.print(
                  describe(TableKeys.lastPart(row.key()), Json.read(row.value(), Bill.class))));
      return claim.isEmpty() && bills.isEmpty() ? ExitCodes.FAILURE : ExitCodes.OK;
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
      return bills.isEmpty() ? "not recorded on the platform" : "served and billed";
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
