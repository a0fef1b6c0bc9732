package org.hibiscusreel.bench.check;

import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;

/**
 * Observations of a run made by callers, upstreams and the platform.
 *
 * <p>Only the configuration versions are read from the daemons; no other part relies on their own
 * records.
 *
 * @param budgets budget rows by budget identifier
 * @param allotments allotment rows by budget identifier, then by incarnation of the holder
 * @param bills stored bills
 * @param attempts attempts of the callers, in any order
 * @param engineRuns generations recorded by engines
 * @param serviceRuns runs recorded by plain services
 * @param configVersions versions of the active configuration by incarnation, in chronological order
 * @param settled whether enough time has passed since the last fault for all bills to be stored
 */
public record Observations(
    Map<String, BudgetRow> budgets,
    Map<String, Map<String, AllotmentRow>> allotments,
    List<BilledRow> bills,
    List<Attempt> attempts,
    List<EngineRun> engineRuns,
    List<ServiceRun> serviceRuns,
    Map<String, List<Long>> configVersions,
    boolean settled) {

  /** Creates observations with unmodifiable copies of the collections. */
  public Observations {
    budgets = Map.copyOf(budgets);
    allotments = Map.copyOf(allotments);
    bills = List.copyOf(bills);
    attempts = List.copyOf(attempts);
    engineRuns = List.copyOf(engineRuns);
    serviceRuns = List.copyOf(serviceRuns);
    configVersions = Map.copyOf(configVersions);
  }
}
