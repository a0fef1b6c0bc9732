package org.hibiscusreel.core.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.ledger.Bill;

/** Computes the {@link EveningReport} of a day. */
public final class EveningReportBuilder {

  /** Largest number of detail lines of a figure. */
  static final int MAX_DETAILS = 20;

  private final ReportInput input;
  private final Completeness completeness;
  private final BilledAmounts amounts;
  private final Map<String, Breakdown> accounts = new TreeMap<>();
  private final Map<String, Breakdown> sites = new TreeMap<>();
  private final Map<String, Tally> refusals = new TreeMap<>();

  private EveningReportBuilder(ReportInput input) {
    this.input = input;
    this.completeness = new Completeness(input);
    this.amounts = new BilledAmounts(input);
  }

  /** Sums of one client account or site. */
  private static final class Breakdown {
    private AccountCounts counts = AccountCounts.NONE;
    private Tally falseRefusals = Tally.NONE;
    private long billedTokens;
  }

  /**
   * Computes a report.
   *
   * @param input the rows
   * @return the report
   * @throws NullPointerException if the input is null
   */
  public static EveningReport build(ReportInput input) {
    return new EveningReportBuilder(input).build();
  }

  private EveningReport build() {
    input.incarnations().values().forEach(row -> breakdown(sites, row.site()));
    input.days().forEach(this::addDay);
    input.bills().forEach(this::addBill);
    Figure overspend = overspend();
    Figure falseRefusals = falseRefusals();
    Figure billedTwice = billedTwice();
    Figure notBilled = notBilled();
    AccountCounts all =
        sites.values().stream().map(b -> b.counts).reduce(AccountCounts.NONE, AccountCounts::plus);
    Figure late = tally("Late answers", all.late(), List.of());
    Figure unknown = tally("Unknown outcomes", all.unknownOutcomes(), openClaims());
    List<Figure> guarantees = List.of(overspend, falseRefusals, billedTwice, notBilled);
    return new EveningReport(
        input.date(),
        input.nowMillis(),
        verdict(guarantees),
        completeness.reasons(),
        overspend,
        falseRefusals,
        billedTwice,
        notBilled,
        late,
        unknown,
        refusals,
        lines(accounts, completeness.unknownSites().isEmpty()),
        siteLines());
  }

  private Verdict verdict(List<Figure> guarantees) {
    if (guarantees.stream().anyMatch(figure -> figure.amount() > 0)) {
      return Verdict.DID_NOT_GO_WELL;
    }
    return guarantees.stream().allMatch(Figure::isKnown)
        ? Verdict.WENT_WELL
        : Verdict.NOT_YET_KNOWN;
  }

  private void addDay(DayRow row) {
    row.accounts()
        .forEach(
            (account, counts) -> {
              Breakdown byAccount = breakdown(accounts, account);
              byAccount.counts = byAccount.counts.plus(counts);
              Breakdown bySite = breakdown(sites, row.site());
              bySite.counts = bySite.counts.plus(counts);
              counts.refusals().forEach((code, t) -> refusals.merge(code, t, Tally::plus));
            });
  }

  private void addBill(BilledRequest request) {
    Bill bill = request.bill();
    if (input.isOnDay(bill.finishedAtMillis())) {
      breakdown(accounts, bill.account()).billedTokens += bill.tokens();
      breakdown(sites, bill.site()).billedTokens += bill.tokens();
    }
  }

  /** Compares the billed and the charged tokens with the granted tokens. */
  private Figure overspend() {
    Map<String, Long> charged = new HashMap<>();
    input.spent().forEach(s -> charged.merge(s.budget(), s.tokens(), Long::sum));
    TreeSet<String> budgets = new TreeSet<>(charged.keySet());
    budgets.addAll(amounts.billedBudgets());
    long tokens = 0;
    double worth = 0;
    List<String> details = new ArrayList<>();
    for (String budget : budgets) {
      BudgetRow row = input.budgets().get(budget);
      long granted = row == null ? 0 : row.granted();
      long billed = amounts.billedBy(budget, Long.MAX_VALUE);
      long used = Math.max(billed, charged.getOrDefault(budget, 0L));
      if (used > granted) {
        tokens += used - granted;
        worth += worthOfBillsBeyond(budget, granted);
        detail(details, budget + ": used " + used + " of " + granted + " tokens granted");
      }
    }
    return figure("Overspend", "tokens", tokens, worth, true, details);
  }

  private double worthOfBillsBeyond(String budget, long granted) {
    long sum = 0;
    double worth = 0;
    for (Bill bill : amounts.billsOf(budget)) {
      sum += bill.tokens();
      worth += sum > granted ? bill.worth() : 0;
    }
    return worth;
  }

  /**
   * Counts the refusals at whose time the granted tokens minus the billed tokens covered the worst
   * case of the request.
   */
  private Figure falseRefusals() {
    Tally total = Tally.NONE;
    List<String> details = new ArrayList<>();
    TreeSet<String> unknownSites = new TreeSet<>(completeness.unknownSites());
    for (DayRow row : input.days()) {
      if (row.droppedRefusals() > 0) {
        unknownSites.add(row.site());
        detail(
            details,
            row.incarnation()
                + ": "
                + row.droppedRefusals()
                + " refusals were not kept one by one");
      }
      for (BudgetRefusal refusal : row.budgetRefusals()) {
        long remaining =
            amounts.grantedBy(refusal.budget(), refusal.atMillis())
                - amounts.billedBy(refusal.budget(), refusal.atMillis());
        if (remaining >= refusal.tokens()) {
          total = total.plus(refusal.worth());
          Breakdown account = breakdown(accounts, refusal.account());
          account.falseRefusals = account.falseRefusals.plus(refusal.worth());
          Breakdown site = breakdown(sites, row.site());
          site.falseRefusals = site.falseRefusals.plus(refusal.worth());
          detail(
              details,
              refusal.budget() + ": " + refusal.tokens() + " refused with " + remaining + " left");
        }
      }
    }
    return new Figure(
        "False refusals",
        "requests",
        total.count(),
        total.worth(),
        true,
        List.copyOf(unknownSites),
        details);
  }

  /**
   * Counts second bills for the same request and content, and charges without a corresponding bill.
   */
  private Figure billedTwice() {
    Map<List<String>, Bill> first = new HashMap<>();
    Map<List<String>, Long> billed = new HashMap<>();
    Tally total = Tally.NONE;
    List<String> details = new ArrayList<>();
    for (BilledRequest request : input.bills()) {
      Bill bill = request.bill();
      billed.merge(List.of(bill.holder(), bill.budget(), bill.server()), bill.tokens(), Long::sum);
      List<String> key = List.of(bill.account(), request.requestId(), bill.fingerprint());
      Bill other = first.putIfAbsent(key, bill);
      if (other != null
          && (input.isOnDay(bill.finishedAtMillis()) || input.isOnDay(other.finishedAtMillis()))) {
        total = total.plus(bill.worth());
        detail(details, bill.account() + "/" + request.requestId() + " has two bills");
      }
    }
    for (SpentAmount spent : input.spent()) {
      List<String> key = List.of(spent.holder(), spent.budget(), spent.server());
      long excess = spent.tokens() - billed.getOrDefault(key, 0L);
      if (excess > 0) {
        total = total.plus(0);
        detail(
            details,
            spent.budget() + ": " + spent.server() + " charged " + excess + " tokens without bill");
      }
    }
    return figure("Billed twice", "requests", total.count(), total.worth(), true, details);
  }

  /**
   * Compares complete responses with bills for each incarnation, and finished claims with bills for
   * each request. The worth of missing bills is estimated by the average worth of the incarnation's
   * responses.
   */
  private Figure notBilled() {
    Map<String, Long> bills = new HashMap<>();
    Set<List<String>> billed = new HashSet<>();
    for (BilledRequest request : input.bills()) {
      Bill bill = request.bill();
      billed.add(List.of(bill.account(), request.requestId()));
      if (input.isOnDay(bill.finishedAtMillis())) {
        bills.merge(bill.server(), 1L, Long::sum);
      }
    }
    Map<String, Tally> served = new TreeMap<>();
    Map<String, Long> withoutBill = new HashMap<>();
    for (DayRow row : input.days()) {
      row.accounts()
          .values()
          .forEach(counts -> served.merge(row.incarnation(), counts.served(), Tally::plus));
      withoutBill.merge(row.incarnation(), row.pendingBills() + row.alreadyBilled(), Long::sum);
    }
    long missing = 0;
    double worth = 0;
    List<String> details = new ArrayList<>();
    for (Map.Entry<String, Tally> entry : served.entrySet()) {
      Tally responses = entry.getValue();
      long missingBills =
          responses.count()
              - withoutBill.getOrDefault(entry.getKey(), 0L)
              - bills.getOrDefault(entry.getKey(), 0L);
      if (missingBills > 0) {
        missing += missingBills;
        worth += missingBills * responses.worth() / responses.count();
        detail(details, entry.getKey() + " served " + missingBills + " requests without a bill");
      }
    }
    long claims = 0;
    for (ClaimedRequest claim : input.claims()) {
      if (isServedOnDay(claim) && !billed.contains(List.of(claim.account(), claim.requestId()))) {
        claims++;
        detail(details, claim.account() + "/" + claim.requestId() + " finished without a bill");
      }
    }
    return figure(
        "Served but not billed", "requests", Math.max(missing, claims), worth, true, details);
  }

  private boolean isServedOnDay(ClaimedRequest claim) {
    return claim.row().state() == ClaimState.FINISHED
        && claim.row().status() / 100 == 2
        && input.isOnDay(claim.row().atMillis());
  }

  private List<String> openClaims() {
    long open =
        input.claims().stream()
            .filter(c -> c.row().state() == ClaimState.CLAIMED)
            .filter(c -> input.isOnDay(c.row().atMillis()))
            .count();
    return open == 0 ? List.of() : List.of(open + " claims of the day are still open");
  }

  private Figure tally(String title, Tally tally, List<String> details) {
    return figure(title, "requests", tally.count(), tally.worth(), false, details);
  }

  private Figure figure(
      String title,
      String unit,
      long amount,
      double worth,
      boolean guaranteed,
      List<String> details) {
    return new Figure(title, unit, amount, worth, guaranteed, completeness.unknownSites(), details);
  }

  private List<BreakdownLine> siteLines() {
    List<BreakdownLine> lines = new ArrayList<>();
    sites.forEach(
        (name, b) -> lines.add(line(name, b, !completeness.unknownSites().contains(name))));
    return lines;
  }

  private static List<BreakdownLine> lines(Map<String, Breakdown> breakdowns, boolean known) {
    List<BreakdownLine> lines = new ArrayList<>();
    breakdowns.forEach((name, b) -> lines.add(line(name, b, known)));
    return lines;
  }

  private static BreakdownLine line(String name, Breakdown b, boolean known) {
    return new BreakdownLine(
        name,
        b.counts.served(),
        b.counts.late(),
        b.counts.refused(),
        b.falseRefusals,
        b.counts.unknownOutcomes(),
        b.billedTokens,
        known);
  }

  private static Breakdown breakdown(Map<String, Breakdown> breakdowns, String name) {
    return breakdowns.computeIfAbsent(name, key -> new Breakdown());
  }

  private static void detail(List<String> details, String text) {
    if (details.size() < MAX_DETAILS) {
      details.add(text);
    } else if (details.size() == MAX_DETAILS) {
      details.add("further ones are left out");
    }
  }
}
