package org.hibiscusreel.core.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.request.ProblemCode;
import org.junit.jupiter.api.Test;

class EveningReportBuilderTest {

  private static final String DATE = "1970-01-11";
  private static final long DAY_START_MILLIS = 864_000_000;
  private static final long DAY_END_MILLIS = DAY_START_MILLIS + 86_400_000;
  private static final long NOW_MILLIS = DAY_START_MILLIS + 40_000_000;

  private final Map<String, BudgetRow> budgets = new HashMap<>();
  private final List<BilledRequest> bills = new ArrayList<>();
  private final List<SpentAmount> spent = new ArrayList<>();
  private final List<ClaimedRequest> claims = new ArrayList<>();
  private final List<DayRow> days = new ArrayList<>();
  private final Map<String, IncarnationRow> incarnations = new HashMap<>();
  private final DayCounters north = new DayCounters();
  private long pendingBills;
  private long nowMillis = NOW_MILLIS;

  EveningReportBuilderTest() {
    budgets.put(
        "main",
        new BudgetRow(
            "lab",
            1_000,
            900,
            AllotmentPolicy.BALANCED,
            List.of(
                new TopUp("a", 400, DAY_START_MILLIS),
                new TopUp("b", 600, DAY_START_MILLIS + 1_000))));
    incarnations.put("n1", incarnation("north", IncarnationState.LIVE));
  }

  @Test
  void dayWithoutViolationWentWell() {
    serve("r1", 100, 5_000);
    spent.add(new SpentAmount("n1", "main", "n1", 100));

    EveningReport report = report();

    assertThat(report.verdict()).isEqualTo(Verdict.WENT_WELL);
    assertThat(report.figures()).allMatch(f -> f.amount() == 0 && f.isKnown());
    assertThat(report.accounts().get(0).billedTokens()).isEqualTo(100);
    assertThat(report.sites()).singleElement().extracting(s -> s.served().count()).isEqualTo(1L);
  }

  @Test
  void countsOverspendByTokensAndWorth() {
    serve("r1", 900, 5_000);
    serve("r2", 150, 6_000);

    EveningReport report = report();

    assertThat(report.overspend().amount()).isEqualTo(50);
    assertThat(report.overspend().worth()).isEqualTo(2.0);
    assertThat(report.verdict()).isEqualTo(Verdict.DID_NOT_GO_WELL);
  }

  /** Guards against ignoring the charges to a budget that was deleted or never created. */
  @Test
  void countsBillsOfUnknownBudgetAsOverspend() {
    budgets.clear();
    serve("r1", 100, 5_000);

    assertThat(report().overspend().amount()).isEqualTo(100);
  }

  /** Guards against evaluating refusals with the amounts at the time of the report. */
  @Test
  void evaluatesRefusalsWithTheAmountsAtTheirTime() {
    serve("r1", 300, 500);
    refuse(600, 100);
    refuse(600, 101);
    refuse(1_000, 700);
    refuse(1_000, 701);

    EveningReport report = report();

    assertThat(report.falseRefusals().amount()).isEqualTo(2);
    assertThat(report.falseRefusals().worth()).isEqualTo(6.0);
    assertThat(report.accounts().get(0).falseRefusals()).isEqualTo(new Tally(2, 6.0));
    assertThat(report.refusals()).containsEntry("budget_unavailable", new Tally(4, 12.0));
    assertThat(report.verdict()).isEqualTo(Verdict.DID_NOT_GO_WELL);
  }

  @Test
  void countsSecondBillOfTheSameContent() {
    bill("r1", "r1", "feed01", 10, 5_000);
    bill("r1", "r1~feed", "feed01", 10, 6_000);
    bill("r2", "r2", "aaaa01", 10, 7_000);
    bill("r2", "r2~bbbb", "bbbb01", 10, 8_000);

    assertThat(report().billedTwice().amount()).isEqualTo(1);
    assertThat(report().verdict()).isEqualTo(Verdict.DID_NOT_GO_WELL);
  }

  /** Guards against charged tokens without a corresponding bill. */
  @Test
  void countsChargeWithoutBillAsBilledTwice() {
    serve("r1", 100, 5_000);
    spent.add(new SpentAmount("n1", "main", "n1", 130));

    assertThat(report().billedTwice().amount()).isEqualTo(1);
    assertThat(report().billedTwice().details()).anyMatch(d -> d.contains("30 tokens"));
  }

  @Test
  void countsServedRequestsWithoutBill() {
    serve("r1", 100, 5_000);
    north.served("lab", 2.0, 0);
    north.served("lab", 2.0, 0);
    pendingBills = 1;

    assertThat(report().notBilled().amount()).isEqualTo(1);
    assertThat(report().notBilled().worth()).isEqualTo(2.0);
  }

  @Test
  void countsFinishedClaimsWithoutBill() {
    serve("r1", 100, 5_000);
    claims.add(claim("r1", ClaimState.FINISHED, 200));
    claims.add(claim("r2", ClaimState.FINISHED, 200));
    claims.add(claim("r3", ClaimState.FINISHED, 500));
    claims.add(claim("r4", ClaimState.WITHDRAWN, 0));

    assertThat(report().notBilled().amount()).isEqualTo(1);
    assertThat(report().notBilled().details()).containsExactly("lab/r2 finished without a bill");
  }

  @Test
  void countsLateAnswersByWorthWithoutViolation() {
    serve("r1", 10, 5_000);
    bill("r2", "r2", "r2", 10, 6_000);
    north.served("lab", 4.0, 250);

    assertThat(report().late().amount()).isEqualTo(1);
    assertThat(report().late().worth()).isEqualTo(4.0);
    assertThat(report().verdict()).isEqualTo(Verdict.WENT_WELL);
  }

  @Test
  void countsUnknownOutcomes() {
    north.unknownOutcome("lab", 20.0);
    claims.add(claim("r1", ClaimState.CLAIMED, 0));

    assertThat(report().unknownOutcomes().amount()).isEqualTo(1);
    assertThat(report().unknownOutcomes().worth()).isEqualTo(20.0);
    assertThat(report().unknownOutcomes().details())
        .containsExactly("1 claims of the day are still open");
  }

  /** Guards against a positive verdict while the counters of a site are missing. */
  @Test
  void figuresAreNotYetKnownWhileSiteIsMissing() {
    incarnations.put("s1", incarnation("south", IncarnationState.LIVE));
    days.add(new DayCounters().snapshot("s1", "south", DATE, NOW_MILLIS - 120_001, 0));

    EveningReport report = report();

    assertThat(report.verdict()).isEqualTo(Verdict.NOT_YET_KNOWN);
    assertThat(report.figures())
        .allSatisfy(f -> assertThat(f.unknownSites()).containsExactly("south"));
    assertThat(report.unknownBecause()).singleElement().asString().contains("s1");
    assertThat(report.sites()).extracting(BreakdownLine::known).containsExactly(true, false);
    assertThat(TextReport.render(report)).startsWith(DATE + ": not yet known");
  }

  @Test
  void countersTwoMinutesOldAreComplete() {
    incarnations.put("s1", incarnation("south", IncarnationState.LIVE));
    days.add(new DayCounters().snapshot("s1", "south", DATE, NOW_MILLIS - 120_000, 0));

    assertThat(report().verdict()).isEqualTo(Verdict.WENT_WELL);
  }

  @Test
  void figuresAreNotYetKnownUntilDeadIncarnationIsRecovered() {
    incarnations.put("s1", incarnation("south", IncarnationState.DEAD));
    assertThat(report().verdict()).isEqualTo(Verdict.NOT_YET_KNOWN);

    incarnations.put("s1", incarnation("south", IncarnationState.RECOVERED));
    assertThat(report().verdict()).isEqualTo(Verdict.WENT_WELL);
  }

  /** Guards against counters that were split into several rows, some of which are missing. */
  @Test
  void figuresAreNotYetKnownWhilePartIsMissing() {
    incarnations.put("s1", incarnation("south", IncarnationState.LIVE));
    days.add(new DayRow("s1", "south", DATE, 0, 2, NOW_MILLIS, 0, 0, 0, Map.of(), List.of()));

    assertThat(report().verdict()).isEqualTo(Verdict.NOT_YET_KNOWN);
  }

  /** Guards against a report of a past day without the counters of its last minutes. */
  @Test
  void pastDayRequiresCountersWrittenAfterItsEnd() {
    nowMillis = DAY_END_MILLIS + 3_600_000;
    days.add(north.snapshot("n1", "north", DATE, DAY_END_MILLIS - 1, 0));
    assertThat(EveningReportBuilder.build(input()).verdict()).isEqualTo(Verdict.NOT_YET_KNOWN);

    days.set(0, north.snapshot("n1", "north", DATE, DAY_END_MILLIS, 0));
    assertThat(EveningReportBuilder.build(input()).verdict()).isEqualTo(Verdict.WENT_WELL);
  }

  /** Guards against hiding a known violation because the counters of another site are missing. */
  @Test
  void knownViolationTakesPrecedenceOverMissingFigures() {
    incarnations.put("s1", incarnation("south", IncarnationState.DEAD));
    serve("r1", 1_001, 5_000);

    assertThat(report().verdict()).isEqualTo(Verdict.DID_NOT_GO_WELL);
  }

  /** Guards against omitting refusals beyond the bound from the figure. */
  @Test
  void refusalsBeyondTheBoundMakeTheFigureUnknown() {
    DayCounters bounded = new DayCounters(1, 0);
    bounded.budgetRefused("lab", "main", ProblemCode.BUDGET_UNAVAILABLE, DAY_START_MILLIS, 1, 1.0);
    days.add(bounded.snapshot("n1", "north", DATE, NOW_MILLIS, 0));

    assertThat(EveningReportBuilder.build(input()).falseRefusals().unknownSites())
        .containsExactly("north");
  }

  @Test
  void rendersVerdictFirstAndEscapesNames() {
    north.served("<b>", 1.0, 0);
    bill("r1", "r1", "r1", 1, 5_000);

    assertThat(TextReport.render(report())).startsWith(DATE + ": went well\n");
    assertThat(HtmlReport.render(report()))
        .contains("<h1>" + DATE + ": <span class=\"WENT_WELL\">went well</span></h1>")
        .contains("&lt;b&gt;")
        .doesNotContain("<b>", "<script", "src=", "href=");
  }

  private EveningReport report() {
    days.removeIf(row -> row.incarnation().equals("n1"));
    days.add(north.snapshot("n1", "north", DATE, nowMillis, pendingBills));
    return EveningReportBuilder.build(input());
  }

  private ReportInput input() {
    return new ReportInput(
        DATE,
        DAY_START_MILLIS,
        DAY_END_MILLIS,
        nowMillis,
        budgets,
        bills,
        spent,
        claims,
        days,
        incarnations);
  }

  private void serve(String id, long tokens, long offset) {
    north.served("lab", 2.0, 0);
    bill(id, id, id, tokens, offset);
  }

  private void bill(String id, String rowId, String fingerprint, long tokens, long offset) {
    bills.add(
        new BilledRequest(
            rowId,
            new Bill(
                "lab",
                id,
                "main",
                "n1",
                "n1",
                "x",
                "writer",
                0,
                tokens,
                2.0,
                "north",
                fingerprint,
                DAY_START_MILLIS,
                DAY_START_MILLIS + offset,
                0)));
  }

  private void refuse(long offset, long tokens) {
    north.budgetRefused(
        "lab", "main", ProblemCode.BUDGET_UNAVAILABLE, DAY_START_MILLIS + offset, tokens, 3.0);
  }

  private static ClaimedRequest claim(String id, ClaimState state, int status) {
    return new ClaimedRequest(
        "lab", id, new ClaimRow("n1", "x", state, "f", status, "", "", DAY_START_MILLIS + 1));
  }

  private static IncarnationRow incarnation(String site, IncarnationState state) {
    return new IncarnationRow("h", "d", site, "", "", "", state, "", DAY_START_MILLIS);
  }
}
