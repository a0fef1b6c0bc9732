package org.hibiscusreel.bench.compare;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.BilledRow;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Finds requests refused for their budget although the granted amount, less all tokens billed by
 * then, was at least the refused worst case. A request counts once, whatever became of its later
 * attempts.
 */
final class FalseRefusals {

  private static final String BUDGET_CODES = "budget_";

  private FalseRefusals() {}

  /**
   * Finds the requests.
   *
   * @param trace the trace
   * @param seen what was seen
   * @return worth by request
   */
  static Map<RequestKey, Double> find(Trace trace, Observations seen) {
    Map<RequestKey, Arrival> arrivals = new HashMap<>();
    trace.arrivals().forEach(a -> arrivals.put(new RequestKey(a.account(), a.id()), a));
    Map<String, NavigableMap<Long, Long>> remaining = new HashMap<>();
    seen.budgets().keySet().forEach(b -> remaining.put(b, remaining(seen, b)));
    Map<RequestKey, Double> found = new LinkedHashMap<>();
    for (Attempt a : seen.attempts()) {
      if (a.outcome() instanceof Outcome.Refused r && r.code().startsWith(BUDGET_CODES)) {
        Arrival arrival = arrivals.get(a.key());
        Map.Entry<Long, Long> left =
            remaining.get(arrival.budget()).floorEntry(VirtualTime.START_WALL_MILLIS + a.endedAt());
        if (left != null && left.getValue() >= arrival.worstCase()) {
          found.put(a.key(), arrival.worth());
        }
      }
    }
    return found;
  }

  /** Granted less billed tokens from each time on at which they changed. */
  private static NavigableMap<Long, Long> remaining(Observations seen, String budget) {
    TreeMap<Long, Long> changes = new TreeMap<>();
    for (TopUp t : seen.budgets().get(budget).topUps()) {
      changes.merge(t.atMillis(), t.tokens(), Long::sum);
    }
    for (BilledRow r : seen.bills()) {
      Bill b = r.bill();
      if (b.budget().equals(budget)) {
        changes.merge(b.finishedAtMillis(), -b.tokens(), Long::sum);
      }
    }
    long sum = 0;
    for (Map.Entry<Long, Long> e : changes.entrySet()) {
      sum += e.getValue();
      e.setValue(sum);
    }
    return changes;
  }
}
