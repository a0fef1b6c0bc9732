package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.BilledRow;
import org.hibiscusreel.bench.check.EngineRun;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.ServiceRun;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.ledger.Bill;

/** Converts the records of the fakes into observations for the checker. */
final class ObservationReader {

  private ObservationReader() {}

  static Observations read(
      FakeTable table,
      FakeEngines engines,
      FakeServices services,
      List<Attempt> attempts,
      Map<String, List<Long>> configVersions,
      boolean settled) {
    Map<String, BudgetRow> budgets = new HashMap<>();
    for (Row r : table.rows("budget/")) {
      budgets.put(TableKeys.lastPart(r.key()), Json.read(r.value(), BudgetRow.class));
    }
    Map<String, Map<String, AllotmentRow>> allotments = new HashMap<>();
    for (Row r : table.rows("allotment/")) {
      allotments
          .computeIfAbsent(TableKeys.lastPart(r.key()), k -> new HashMap<>())
          .put(decodedPart(r.key(), 1), Json.read(r.value(), AllotmentRow.class));
    }
    List<BilledRow> bills = new ArrayList<>();
    for (Row r : table.rows("bill/")) {
      bills.add(
          new BilledRow(
              decodedPart(r.key(), 1),
              TableKeys.lastPart(r.key()),
              Json.read(r.value(), Bill.class)));
    }
    return new Observations(
        budgets,
        allotments,
        bills,
        attempts,
        engines.generations().stream().map(ObservationReader::toEngineRun).toList(),
        services.runs().stream()
            .map(r -> new ServiceRun(r.upstream(), r.method(), r.idempotencyKey(), r.at()))
            .toList(),
        configVersions,
        settled);
  }

  private static String decodedPart(String key, int index) {
    return TableKeys.lastPart("/" + key.split("/", -1)[index]);
  }

  private static EngineRun toEngineRun(FakeEngines.Generation g) {
    return new EngineRun(
        g.upstream(),
        g.request().streamId(),
        g.request().metadata(),
        g.startedAt(),
        g.usage().promptTokens(),
        g.usage().completionTokens(),
        g.state());
  }

  /** Returns the tokens in allotments of daemons that no longer run, less the tokens billed. */
  static long strandedTokens(Observations observations, Collection<SimulatedDaemon> daemons) {
    Set<String> running =
        daemons.stream()
            .filter(d -> d.process().isAlive())
            .map(SimulatedDaemon::incarnation)
            .collect(Collectors.toSet());
    long sum = 0;
    for (Map.Entry<String, Map<String, AllotmentRow>> b : observations.allotments().entrySet()) {
      for (Map.Entry<String, AllotmentRow> h : b.getValue().entrySet()) {
        if (!running.contains(h.getKey())) {
          AllotmentRow a = h.getValue();
          sum += a.drawn() - a.returned() - billedTokens(observations, b.getKey(), h.getKey());
        }
      }
    }
    return sum;
  }

  private static long billedTokens(Observations observations, String budget, String holder) {
    return observations.bills().stream()
        .map(BilledRow::bill)
        .filter(b -> b.budget().equals(budget) && b.holder().equals(holder))
        .mapToLong(Bill::tokens)
        .sum();
  }
}
