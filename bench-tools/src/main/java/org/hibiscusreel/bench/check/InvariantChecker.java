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
import org.hibiscusreel.bench.check.Violation.Invariant;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;

/** Checks observations of a run against the invariants of {@link Invariant}. */
public final class InvariantChecker {

  private final Observations observations;
  private final List<Violation> violations = new ArrayList<>();

  private InvariantChecker(Observations observations) {
    this.observations = observations;
  }

  /**
   * Checks all invariants.
   *
   * @param observations observations of the run
   * @return the violations, empty if all invariants hold
   */
  public static List<Violation> check(Observations observations) {
    InvariantChecker checker = new InvariantChecker(observations);
    checker.checkSpend();
    checker.checkAllotments();
    checker.checkDuplicateBills();
    checker.checkUnbilledRequests();
    checker.checkBilledAmounts();
    checker.checkAnswerTexts();
    checker.checkServiceRuns();
    checker.checkModelRefusals();
    checker.checkConfigVersions();
    return checker.violations;
  }

  private void report(Invariant invariant, String detail) {
    violations.add(new Violation(invariant, detail));
  }

  /** Checks that the top-ups cover the bills of each budget at the finish time of every bill. */
  private void checkSpend() {
    Map<String, List<Bill>> byBudget =
        observations.bills().stream()
            .map(BilledRow::bill)
            .collect(Collectors.groupingBy(Bill::budget));
    byBudget.forEach(
        (budget, bills) -> {
          BudgetRow row = observations.budgets().get(budget);
          if (row == null) {
            report(Invariant.OVERSPEND, "budget " + budget + " does not exist but was billed");
            return;
          }
          long sum = 0;
          for (Bill b : sortedByFinishTime(bills)) {
            sum += b.tokens();
            if (sum > grantedAt(row, b.finishedAtMillis())) {
              report(
                  Invariant.OVERSPEND,
                  "budget " + budget + " billed " + sum + " at request " + b.requestId());
              return;
            }
          }
        });
  }

  private static List<Bill> sortedByFinishTime(List<Bill> bills) {
    return bills.stream().sorted(Comparator.comparingLong(Bill::finishedAtMillis)).toList();
  }

  private static long grantedAt(BudgetRow row, long atMillis) {
    return row.topUps().stream()
        .filter(t -> t.atMillis() <= atMillis)
        .mapToLong(TopUp::tokens)
        .sum();
  }

  /** Checks that each allotment covers its bills, and that the budget covers its allotments. */
  private void checkAllotments() {
    Map<String, Map<String, Long>> billed = new HashMap<>();
    for (BilledRow r : observations.bills()) {
      billed
          .computeIfAbsent(r.bill().budget(), k -> new HashMap<>())
          .merge(r.bill().holder(), r.bill().tokens(), Long::sum);
    }
    observations.budgets().forEach((budget, row) -> checkAllotments(budget, row, billed));
  }

  private void checkAllotments(
      String budget, BudgetRow row, Map<String, Map<String, Long>> billed) {
    Map<String, AllotmentRow> held = observations.allotments().getOrDefault(budget, Map.of());
    long kept = held.values().stream().mapToLong(a -> a.drawn() - a.returned()).sum();
    if (kept > row.drawn()) {
      report(
          Invariant.OVERSPEND,
          "budget " + budget + ": allotments keep " + kept + " but drawn is " + row.drawn());
    }
    billed
        .getOrDefault(budget, Map.of())
        .forEach(
            (holder, tokens) -> {
              AllotmentRow a = held.getOrDefault(holder, new AllotmentRow(0, 0, false));
              if (tokens > a.drawn() - a.returned()) {
                report(
                    Invariant.OVERSPEND,
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

  private void checkDuplicateBills() {
    Map<String, BilledRow> byReservation = new HashMap<>();
    Set<RequestKey> keys = new HashSet<>();
    for (BilledRow r : observations.bills()) {
      if (!keys.add(new RequestKey(r.account(), r.bill().requestId()))) {
        report(Invariant.BILLED_TWICE, "request " + r.bill().requestId() + " has two bills");
      }
      BilledRow other = byReservation.put(r.bill().reservationId(), r);
      if (other != null) {
        report(
            Invariant.BILLED_TWICE,
            "reservation " + r.bill().reservationId() + " covers two bills");
      }
    }
  }

  private void checkUnbilledRequests() {
    if (!observations.settled()) {
      return;
    }
    Set<RequestKey> billed =
        observations.bills().stream()
            .map(r -> new RequestKey(r.account(), r.bill().requestId()))
            .collect(Collectors.toSet());
    Set<RequestKey> missing = new HashSet<>();
    for (Attempt a : observations.attempts()) {
      if (a.outcome() instanceof Outcome.Whole
          && !billed.contains(a.key())
          && missing.add(a.key())) {
        report(
            Invariant.UNBILLED,
            "request " + a.key() + " was served by " + a.server() + " but is not billed");
      }
    }
  }

  /**
   * Checks that the bill of a model call equals the usage of a generation under its reservation.
   */
  private void checkBilledAmounts() {
    Map<String, List<EngineRun>> byReservation =
        observations.engineRuns().stream()
            .collect(Collectors.groupingBy(e -> e.metadata().reservationId()));
    Set<String> modelRequests =
        observations.engineRuns().stream()
            .map(e -> e.metadata().account() + "/" + e.metadata().requestId())
            .collect(Collectors.toSet());
    for (BilledRow r : observations.bills()) {
      Bill b = r.bill();
      if (!modelRequests.contains(b.account() + "/" + b.requestId())) {
        continue;
      }
      boolean matches =
          byReservation.getOrDefault(b.reservationId(), List.of()).stream()
              .anyMatch(e -> e.tokens() == b.tokens());
      if (!matches) {
        report(
            Invariant.WRONG_AMOUNT,
            "request " + b.requestId() + " is billed " + b.tokens() + ", which no engine used");
      }
    }
  }

  /** Checks that no daemon goes back to an earlier version of the configuration. */
  private void checkConfigVersions() {
    observations
        .configVersions()
        .forEach(
            (incarnation, versions) -> {
              for (int i = 1; i < versions.size(); i++) {
                if (versions.get(i) < versions.get(i - 1)) {
                  report(
                      Invariant.CONFIGURATION_REVERTED,
                      incarnation + " went from " + versions.get(i - 1) + " to " + versions.get(i));
                }
              }
            });
  }

  private void checkAnswerTexts() {
    for (Attempt a : observations.attempts()) {
      if (a.outcome() instanceof Outcome.Whole w && !w.text().equals(a.expected())) {
        report(
            Invariant.INCOMPLETE_ANSWER,
            "request " + a.key() + " got another answer from " + a.server());
      }
    }
  }

  /**
   * Checks that a call that may not be repeated runs at most once, and that each run was preceded
   * by an attempt that was not reported as not run.
   */
  private void checkServiceRuns() {
    Map<String, List<ServiceRun>> runs =
        observations.serviceRuns().stream()
            .collect(
                Collectors.groupingBy(
                    ServiceRun::requestId, LinkedHashMap::new, Collectors.toList()));
    Map<String, List<Attempt>> attempts =
        observations.attempts().stream()
            .filter(Attempt::service)
            .collect(Collectors.groupingBy(a -> a.key().requestId()));
    runs.forEach((id, list) -> checkServiceRuns(id, list, attempts.getOrDefault(id, List.of())));
  }

  private void checkServiceRuns(String id, List<ServiceRun> runs, List<Attempt> attempts) {
    boolean repeatable = attempts.stream().allMatch(Attempt::repeatable);
    if (!repeatable && runs.size() > 1) {
      report(Invariant.RUN_TWICE, "request " + id + " ran " + runs.size() + " times");
    }
    for (ServiceRun r : runs) {
      boolean isPermitted =
          attempts.stream().anyMatch(a -> a.submittedAt() <= r.at() && !isReportedAsNotRun(a));
      if (!isPermitted) {
        report(Invariant.UNTRUE_REFUSAL, "request " + id + " ran but was told not to have run");
      }
    }
  }

  private static boolean isReportedAsNotRun(Attempt a) {
    return a.outcome() instanceof Outcome.Refused r && r.ran() == Ran.NO;
  }

  /**
   * Checks that no model call ran although its caller was told that it did not.
   *
   * <p>A generation is attributed to the latest attempt that was submitted to its server for its
   * request by the time it started.
   */
  private void checkModelRefusals() {
    Map<String, List<Attempt>> attempts =
        observations.attempts().stream()
            .filter(a -> !a.service())
            .collect(Collectors.groupingBy(a -> a.key().account() + "/" + a.key().requestId()));
    for (EngineRun e : observations.engineRuns()) {
      String key = e.metadata().account() + "/" + e.metadata().requestId();
      attempts.getOrDefault(key, List.of()).stream()
          .filter(a -> a.server().equals(e.metadata().server()))
          .filter(a -> a.submittedAt() <= e.startedAt())
          .max(Comparator.comparingLong(Attempt::submittedAt))
          .filter(InvariantChecker::isReportedAsNotRun)
          .ifPresent(
              a ->
                  report(
                      Invariant.UNTRUE_REFUSAL,
                      "request " + key + " ran at " + e.upstream() + " but was told not to"));
    }
  }
}
