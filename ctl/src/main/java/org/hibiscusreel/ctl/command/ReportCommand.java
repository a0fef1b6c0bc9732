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

/** Generates the evening report. */
@Parameters(commandDescription = "Generate the evening report of a day")
public final class ReportCommand extends Command {

  @Parameter(names = "--date", description = "Day in UTC, YYYY-MM-DD; default: today")
  private String date;

  @Parameter(names = "--format", description = "text, json or html")
  private String format = "text";

  @Parameter(names = "--output", description = "Output file; default: standard output")
  private String output;

  @Override
  public int run(CommandContext context) {
    if (!List.of("text", "json", "html").contains(format)) {
      throw CommandException.usageError("--format must be text, json or html");
    }
    EveningReport report = EveningReportBuilder.build(readInput(context));
    String text =
        switch (format) {
          case "json" -> Json.write(report) + "\n";
          case "html" -> HtmlReport.render(report);
          default -> TextReport.render(report);
        };
    if (output == null) {
      context.print(text.stripTrailing());
    } else {
      writeOutput(text);
      context.print(report.date() + ": " + report.verdict().text());
    }
    return report.verdict() == Verdict.DID_NOT_GO_WELL ? ExitCodes.FAILURE : ExitCodes.OK;
  }

  /**
   * Reads the rows of the report. The rows of spent tokens and the day counters are read before the
   * bills, so that a bill written during the reads is not mistaken for a violation. The budgets are
   * read last, because a top-up precedes the use of its tokens.
   */
  private ReportInput readInput(CommandContext context) {
    long now = context.platform().scheduler().wallMillis();
    LocalDate day = UtcDates.parseOrToday(date, now);
    List<SpentAmount> spent = new ArrayList<>();
    for (Row row : context.scan("spent/")) {
      List<String> key = RowKeys.parts(row.key());
      long tokens = Json.read(row.value(), SpentRow.class).tokens();
      spent.add(new SpentAmount(key.get(0), key.get(1), key.get(2), tokens));
    }
    List<DayRow> days = new ArrayList<>();
    for (Row row : context.scan(TableKeys.days(day.toString()))) {
      days.add(Json.read(row.value(), DayRow.class));
    }
    Map<String, IncarnationRow> incarnations = new HashMap<>();
    for (Row row : context.scan("incarnation/")) {
      incarnations.put(TableKeys.lastPart(row.key()), Json.read(row.value(), IncarnationRow.class));
    }
    List<ClaimedRequest> claims = new ArrayList<>();
    for (Row row : context.scan("claim/")) {
      List<String> key = RowKeys.parts(row.key());
      claims.add(
          new ClaimedRequest(key.get(0), key.get(1), Json.read(row.value(), ClaimRow.class)));
    }
    List<BilledRequest> bills = new ArrayList<>();
    for (Row row : context.scan("bill/")) {
      bills.add(
          new BilledRequest(TableKeys.lastPart(row.key()), Json.read(row.value(), Bill.class)));
    }
    Map<String, BudgetRow> budgets = new HashMap<>();
    for (Row row : context.scan("budget/")) {
      budgets.put(TableKeys.lastPart(row.key()), Json.read(row.value(), BudgetRow.class));
    }
    return new ReportInput(
        day.toString(),
        UtcDates.startOfDayMillis(day),
        UtcDates.startOfDayMillis(day.plusDays(1)),
        now,
        budgets,
        bills,
        spent,
        claims,
        days,
        incarnations);
  }

  private void writeOutput(String text) {
    try {
      Files.writeString(Path.of(output), text);
    } catch (IOException e) {
      throw CommandException.usageError(
          "the file " + output + " can't be written: " + e.getMessage());
    }
  }
}
