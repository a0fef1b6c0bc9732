package org.hibiscusreel.bench.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibiscusreel.bench.check.Violation.Promise;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;

/** Checks observations against the invariants. */
public final class PromiseChecker {

  private final Observations seen;
  private final List<Violation> violations = new ArrayList<>();

  private PromiseChecker(Observations seen) {
    this.seen = seen;
  }

  /**
   * Checks all promises.
   *
   * @param seen the observations
   * @return the violations, empty if all promises hold
   */
  public static List<Violation> check(Observations seen) {
    PromiseChecker c = new PromiseChecker(seen);
    c.checkSpend();
    c.checkHolders();
    c.checkBillsOnce();
    c.checkServedAreBilled();
    c.checkAmounts();
    c.checkAnswers();
    c.checkServiceRuns();
    c.checkModelRefusals();
    c.checkConfigVersions();
    return c.violations;
  }

  private void report(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  /** At the time of each bill, the sum of the bills so far must be covered by the top-ups. */
  private void checkSpend() {
    Map<String, List<Bill>> byBudget =
        seen.bills().stream().map(BilledRow::bill).collect(Collectors.groupingBy(Bill::budget));
    byBudget.forEach(
        (budget, bills) -> {
          BudgetRow row = seen.budgets().get(budget);
          if (row == null) {
            report(Promise.OVERSPEND, "budget " + budget + " does not exist but was billed");
            return;
          }
          long sum = 0;
          for (Bill b : sortedByEnd(bills)) {
            sum += b.tokens();
            if (sum > grantedAt(row, b.finishedAtMillis())) {
              report(
                  Promise.OVERSPEND,
                  "budget " + budget + " billed " + sum + " at request " + b.requestId());
              return;
            }
          }
        });
  }

  private static List<Bill> sortedByEnd(List<Bill> bills) {
    return bills.stream().sorted(Comparator.comparingLong(Bill::finishedAtMillis)).toList();
  }

  private static long grantedAt(BudgetRow row, long atMillis) {
    return row.topUps().stream()
        .filter(t -> t.atMillis() <= atMillis)
        .mapToLong(TopUp::tokens)
        .sum();
  }

  /** What is billed from a holder's allotment must be covered by what it drew and kept. */
  private void checkHolders() {
    Map<String, Map<String, Long>> billed = new HashMap<>();
    for (BilledRow r : seen.bills()) {
      billed
          .computeIfAbsent(r.bill().budget(), k -> new HashMap<>())
          .merge(r.bill().holder(), r.bill().tokens(), Long::sum);
    }
    seen.budgets().forEach((budget, row) -> checkHolders(budget, row, billed));
  }

  private void checkHolders(String budget, BudgetRow row, Map<String, Map<String, Long>> billed) {
    Map<String, AllotmentRow> held = seen.allotments().getOrDefault(budget, Map.of());
    long kept = held.values().stream().mapToLong(a -> a.drawn() - a.returned()).sum();
    if (kept > row.drawn()) {
      report(
          Promise.OVERSPEND,
          "budget " + budget + ": allotments keep " + kept + " but drawn is " + row.drawn());
    }
    billed
        .getOrDefault(budget, Map.of())
        .forEach(
            (holder, tokens) -> {
              AllotmentRow a = held.getOrDefault(holder, new AllotmentRow(0, 0, false));
              if (tokens > a.drawn() - a.returned()) {
                report(
                    Promise.OVERSPEND,
                    "budget "
                        + budget
                        + ": billed "
                        + tokens
                        + " from "
                        + holder
                        + " keeping "
                        + (a.drawn() - a.returned()));
              }
            });
  }

  private void checkBillsOnce() {
    Map<String, BilledRow> byReservation = new HashMap<>();
    Set<RequestKey> keys = new HashSet<>();
    for (BilledRow r : seen.bills()) {
      if (!keys.add(new RequestKey(r.account(), r.bill().requestId()))) {
        report(Promise.BILLED_TWICE, "request " + r.bill().requestId() + " has two bills");
      }
      BilledRow other = byReservation.put(r.bill().reservationId(), r);
      if (other != null) {
        report(
            Promise.BILLED_TWICE, "reservation " + r.bill().reservationId() + " covers two bills");
      }
    }
  }

  private void checkServedAreBilled() {
    if (!seen.settled()) {
      return;
    }
    Set<RequestKey> billed =
        seen.bills().stream()
            .map(r -> new RequestKey(r.account(), r.bill().requestId()))
            .collect(Collectors.toSet());
    Set<RequestKey> missing = new HashSet<>();
    for (Attempt a : seen.attempts()) {
      if (a.outcome() instanceof Outcome.Whole
          && !billed.contains(a.key())
          && missing.add(a.key())) {
        report(
            Promise.UNBILLED,
            "request " + a.key() + " was served by " + a.server() + " but is not billed");
      }
    }
  }

  /** A bill of a model call must equal the use of a generation that its server dispatched. */
  private void checkAmounts() {
    Map<String, List<EngineRun>> byReservation =
        seen.engineRuns().stream()
            .collect(Collectors.groupingBy(e -> e.metadata().reservationId()));
    Set<String> modelRequests =
        seen.engineRuns().stream()
            .map(e -> e.metadata().account() + "/" + e.metadata().requestId())
            .collect(Collectors.toSet());
    for (BilledRow r : seen.bills()) {
      Bill b = r.bill();
      if (!modelRequests.contains(b.account() + "/" + b.requestId())) {
        continue;
      }
      boolean matches =
          byReservation.getOrDefault(b.reservationId(), List.of()).stream()
              .anyMatch(e -> e.tokens() == b.tokens());
      if (!matches) {
        report(
            Promise.WRONG_AMOUNT,
            "request " + b.requestId() + " is billed " + b.tokens() + ", which no engine used");
      }
    }
  }

  /** The configuration in force at a daemon must never go back to an earlier version. */
  private void checkConfigVersions() {
    seen.configVersions()
        .forEach(
            (incarnation, versions) -> {
              for (int i = 1; i < versions.size(); i++) {
                if (versions.get(i) < versions.get(i - 1)) {
                  report(
                      Promise.CONFIGURATION_REVERTED,
                      incarnation + " went from " + versions.get(i - 1) + " to " + versions.get(i));
                }
              }
            });
  }

  private void checkAnswers() {
    for (Attempt a : seen.attempts()) {
      if (a.outcome() instanceof Outcome.Whole w && !w.text().equals(a.expected())) {
        report(
            Promise.INCOMPLETE_ANSWER,
            "request " + a.key() + " got another answer from " + a.server());
      }
    }
  }

  /**
   * A call that may not be repeated runs at most once, and each run must belong to an attempt that
   * was not told that it did not run.
   */
  private void checkServiceRuns() {
    Map<String, List<ServiceRun>> runs =
        seen.serviceRuns().stream()
            .collect(
                Collectors.groupingBy(
                    ServiceRun::requestId, LinkedHashMap::new, Collectors.toList()));
    Map<String, List<Attempt>> attempts =
        seen.attempts().stream()
            .filter(Attempt::service)
            .collect(Collectors.groupingBy(a -> a.key().requestId()));
    runs.forEach((id, list) -> checkServiceRuns(id, list, attempts.getOrDefault(id, List.of())));
  }

  private void checkServiceRuns(String id, List<ServiceRun> runs, List<Attempt> attempts) {
    boolean repeatable = attempts.stream().allMatch(Attempt::repeatable);
    if (!repeatable && runs.size() > 1) {
      report(Promise.RUN_TWICE, "request " + id + " ran " + runs.size() + " times");
    }
    for (ServiceRun r : runs) {
      boolean explained =
          attempts.stream().anyMatch(a -> a.submittedAt() <= r.at() && !toldNotRun(a));
      if (!explained) {
        report(Promise.UNTRUE_REFUSAL, "request " + id + " ran but was told not to have run");
      }
    }
  }

  private static boolean toldNotRun(Attempt a) {
    return a.outcome() instanceof Outcome.Refused r && r.ran() == Ran.NO;
  }

  /**
   * A generation belongs to the latest attempt of its request at its server that was submitted
   * before it started; that attempt must not have been told that the request was not run.
   */
  private void checkModelRefusals() {
    Map<String, List<Attempt>> attempts =
        seen.attempts().stream()
            .filter(a -> !a.service())
            .collect(Collectors.groupingBy(a -> a.key().account() + "/" + a.key().requestId()));
    for (EngineRun e : seen.engineRuns()) {
      String key = e.metadata().account() + "/" + e.metadata().requestId();
      attempts.getOrDefault(key, List.of()).stream()
          .filter(a -> a.server().equals(e.metadata().server()))
          .filter(a -> a.submittedAt() <= e.startedAt())
          .max(Comparator.comparingLong(Attempt::submittedAt))
          .filter(PromiseChecker::toldNotRun)
          .ifPresent(
              a ->
                  report(
                      Promise.UNTRUE_REFUSAL,
                      "request " + key + " ran at " + e.upstream() + " but was told not to"));
    }
  }
}
