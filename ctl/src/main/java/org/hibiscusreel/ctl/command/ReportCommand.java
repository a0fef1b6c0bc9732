package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.ledger.SpentRow;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.report.BilledRequest;
import org.hibiscusreel.core.report.ClaimedRequest;
import org.hibiscusreel.core.report.DayRow;
import org.hibiscusreel.core.report.EveningReport;
import org.hibiscusreel.core.report.EveningReportBuilder;
import org.hibiscusreel.core.report.HtmlReport;
import org.hibiscusreel.core.report.ReportInput;
import org.hibiscusreel.core.report.SpentAmount;
import org.hibiscusreel.core.report.TextReport;
import org.hibiscusreel.core.report.Verdict;

/** Makes the evening report. */
@Parameters(commandDescription = "Make the evening report of a day")
public final class ReportCommand extends Command {

  @Parameter(names = "--date", description = "Day in UTC, YYYY-MM-DD; default: today")
  private String date;

  @Parameter(names = "--format", description = "text, json or html")
  private String format = "text";

  @Parameter(names = "--output", description = "File to write; default: standard output")
  private String output;

  @Override
  public int run(Session session) {
    if (!List.of("text", "json", "html").contains(format)) {
      throw CommandFailure.usage("--format must be text, json or html");
    }
    EveningReport report = EveningReportBuilder.build(read(session));
    String text =
        switch (format) {
          case "json" -> Json.write(report) + "\n";
          case "html" -> HtmlReport.render(report);
          default -> TextReport.render(report);
        };
    if (output == null) {
      session.print(text.stripTrailing());
    } else {
      write(text);
      session.print(report.date() + ": " + report.verdict().text());
    }
    return report.verdict() == Verdict.DID_NOT_GO_WELL ? ExitCodes.NEGATIVE : ExitCodes.OK;
  }

  /**
   * Reads the rows. Sums of charges and counters are read before the bills, so that a bill written
   * meanwhile can't look like a fault; budgets are read last, since a top-up precedes its use.
   */
  private ReportInput read(Session session) {
    long now = session.platform().scheduler().wallMillis();
    LocalDate day = Dates.orToday(date, now);
    List<SpentAmount> spent = new ArrayList<>();
    for (Row row : session.scan("spent/")) {
      List<String> key = RowKeys.parts(row.key());
      long tokens = Json.read(row.value(), SpentRow.class).tokens();
      spent.add(new SpentAmount(key.get(0), key.get(1), key.get(2), tokens));
    }
    List<DayRow> days = new ArrayList<>();
    for (Row row : session.scan(TableKeys.days(day.toString()))) {
      days.add(Json.read(row.value(), DayRow.class));
    }
    Map<String, IncarnationRow> incarnations = new HashMap<>();
    for (Row row : session.scan("incarnation/")) {
      incarnations.put(TableKeys.lastPart(row.key()), Json.read(row.value(), IncarnationRow.class));
    }
    List<ClaimedRequest> claims = new ArrayList<>();
    for (Row row : session.scan("claim/")) {
      List<String> key = RowKeys.parts(row.key());
      claims.add(
          new ClaimedRequest(key.get(0), key.get(1), Json.read(row.value(), ClaimRow.class)));
    }
    List<BilledRequest> bills = new ArrayList<>();
    for (Row row : session.scan("bill/")) {
      bills.add(
          new BilledRequest(TableKeys.lastPart(row.key()), Json.read(row.value(), Bill.class)));
    }
    Map<String, BudgetRow> budgets = new HashMap<>();
    for (Row row : session.scan("budget/")) {
      budgets.put(TableKeys.lastPart(row.key()), Json.read(row.value(), BudgetRow.class));
    }
    return new ReportInput(
        day.toString(),
        Dates.startMillis(day),
        Dates.startMillis(day.plusDays(1)),
        now,
        budgets,
        bills,
        spent,
        claims,
        days,
        incarnations);
  }

  private void write(String text) {
    try {
      Files.writeString(Path.of(output), text);
    } catch (IOException e) {
      throw CommandFailure.usage("the file " + output + " can't be written: " + e.getMessage());
    }
  }
}
