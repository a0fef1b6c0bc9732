package org.hibiscusreel.bench.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.bench.check.Violation.Invariant;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.junit.jupiter.api.Test;

/** Guards against a checker that accepts observations with a violated invariant. */
class InvariantCheckerTest {

  private final List<BilledRow> bills = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<EngineRun> engineRuns = new ArrayList<>();
  private final List<ServiceRun> serviceRuns = new ArrayList<>();
  private final Map<String, List<Long>> configVersions = new HashMap<>();
  private long granted = 1_000;

  @Test
  void acceptsServedAndBilledRequest() {
    addServedRequest("r1", 100);
    assertThat(violatedInvariants()).isEmpty();
  }

  @Test
  void reportsOverspend() {
    granted = 150;
    addServedRequest("r1", 100);
    addServedRequest("r2", 100);
    assertThat(violatedInvariants()).contains(Invariant.OVERSPEND);
  }

  @Test
  void reportsBillsAboveAllotment() {
    granted = 10_000;
    for (int i = 0; i < 11; i++) {
      addServedRequest("r" + i, 100);
    }
    assertThat(violatedInvariants()).containsExactly(Invariant.OVERSPEND);
  }

  @Test
  void reportsSecondBillOfOneRequest() {
    addServedRequest("r1", 100);
    bills.add(new BilledRow("acc", "r1~x", bill("r1", "res-other", 100)));
    engineRuns.add(run("r1", "res-other", 100));
    assertThat(violatedInvariants()).containsExactly(Invariant.BILLED_TWICE);
  }

  @Test
  void reportsServedRequestWithoutBill() {
    addServedRequest("r1", 100);
    bills.clear();
    assertThat(violatedInvariants()).containsExactly(Invariant.UNBILLED);
  }

  @Test
  void reportsBillThatDiffersFromUsage() {
    addServedRequest("r1", 100);
    bills.set(0, new BilledRow("acc", "r1", bill("r1", "res-r1", 101)));
    assertThat(violatedInvariants()).containsExactly(Invariant.WRONG_AMOUNT);
  }

  @Test
  void reportsTruncatedAnswer() {
    addServedRequest("r1", 100);
    attempts.add(attempt("r1", false, true, new Outcome.Whole("tex")));
    assertThat(violatedInvariants()).containsExactly(Invariant.INCOMPLETE_ANSWER);
  }

  @Test
  void reportsUntrueRefusalOfModelCall() {
    attempts.add(attempt("r1", false, true, new Outcome.Refused("overloaded", Ran.NO)));
    engineRuns.add(run("r1", "res-r1", 100));
    assertThat(violatedInvariants()).containsExactly(Invariant.UNTRUE_REFUSAL);
  }

  @Test
  void reportsUntrueRefusalOfServiceCall() {
    attempts.add(attempt("s1", true, false, new Outcome.Refused("claim_unavailable", Ran.NO)));
    serviceRuns.add(new ServiceRun("svc", "sign", "s1", 20));
    assertThat(violatedInvariants()).containsExactly(Invariant.UNTRUE_REFUSAL);
  }

  @Test
  void reportsSecondRunOfCallThatMayNotBeRepeated() {
    attempts.add(attempt("s1", true, false, new Outcome.Broken("timeout")));
    serviceRuns.add(new ServiceRun("svc", "sign", "s1", 20));
    serviceRuns.add(new ServiceRun("svc", "sign", "s1", 30));
    assertThat(violatedInvariants()).containsExactly(Invariant.RUN_TWICE);
  }

  @Test
  void reportsRevertedConfiguration() {
    configVersions.put("srv", List.of(1L, 2L, 2L));
    assertThat(violatedInvariants()).isEmpty();
    configVersions.put("srv", List.of(1L, 2L, 1L));
    assertThat(violatedInvariants()).containsExactly(Invariant.CONFIGURATION_REVERTED);
  }

  private void addServedRequest(String id, long tokens) {
    attempts.add(attempt(id, false, true, new Outcome.Whole("text")));
    engineRuns.add(run(id, "res-" + id, tokens));
    bills.add(new BilledRow("acc", id, bill(id, "res-" + id, tokens)));
  }

  private List<Invariant> violatedInvariants() {
    BudgetRow b =
        new BudgetRow(
            "acc", granted, granted, AllotmentPolicy.BALANCED, List.of(new TopUp("t", granted, 0)));
    long drawn = Math.min(granted, 1_000);
    Observations o =
        new Observations(
            Map.of("b", b),
            Map.of("b", Map.of("holder", new AllotmentRow(drawn, 0, false))),
            bills,
            attempts,
            engineRuns,
            serviceRuns,
            configVersions,
            true);
    return InvariantChecker.check(o).stream().map(Violation::promise).distinct().toList();
  }

  private static Attempt attempt(String id, boolean service, boolean repeatable, Outcome outcome) {
    return new Attempt(
        new RequestKey("acc", id), "srv", "text", service, repeatable, 1.0, 10, 20, 50, outcome);
  }

  private static EngineRun run(String id, String reservation, long tokens) {
    DispatchMetadata m =
        new DispatchMetadata(
            "acc", id, "b", "holder", "srv", reservation, 1.0, "site", "f", 10, 1_000, "m");
    return new EngineRun("e", "s-" + id, m, 15, 10, tokens - 10, UsageRecord.State.FINISHED);
  }

  private static Bill bill(String id, String reservation, long tokens) {
    return new Bill(
        "acc",
        id,
        "b",
        "holder",
        "srv",
        reservation,
        "m",
        10,
        tokens - 10,
        1.0,
        "site",
        "f",
        10,
        50,
        0);
  }
}
