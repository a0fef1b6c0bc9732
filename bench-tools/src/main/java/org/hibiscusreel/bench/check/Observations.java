package org.hibiscusreel.bench.check;

import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;

/**
 * What callers, upstreams and the platform saw; nothing of it is a daemon's own account.
 *
 * @param budgets budget rows by budget
 * @param allotments allotment rows by budget, then by holder
 * @param bills bill rows
 * @param attempts attempts of the callers in order of submission
 * @param engineRuns generations that engines saw
 * @param serviceRuns runs that plain services saw
 * @param configVersions versions of the configuration in force at each incarnation, in order of
 *     time
 * @param settled whether all faults ended long enough ago for every bill to be in the platform
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

  /** Copies the collections. */
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
