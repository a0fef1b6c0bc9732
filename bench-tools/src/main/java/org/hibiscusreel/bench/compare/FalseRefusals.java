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
 * Finds requests that were refused for lack of budget although the granted tokens, less all tokens
 * billed by then, covered the worst case of the request. A request counts once, regardless of the
 * outcome of its later attempts.
 */
final class FalseRefusals {

  private static final String BUDGET_CODE_PREFIX = "budget_";

  private FalseRefusals() {}

  /**
   * Finds the falsely refused requests.
   *
   * @param trace the trace that was run
   * @param observations observations of the run
   * @return worth by request
   */
  static Map<RequestKey, Double> find(Trace trace, Observations observations) {
    Map<RequestKey, Arrival> arrivals = new HashMap<>();
    trace.arrivals().forEach(a -> arrivals.put(new RequestKey(a.account(), a.id()), a));
    Map<String, NavigableMap<Long, Long>> remaining = new HashMap<>();
    observations
        .budgets()
        .keySet()
        .forEach(b -> remaining.put(b, remainingTokensByTime(observations, b)));
    Map<RequestKey, Double> found = new LinkedHashMap<>();
    for (Attempt a : observations.attempts()) {
      if (a.outcome() instanceof Outcome.Refused r && r.code().startsWith(BUDGET_CODE_PREFIX)) {
        Arrival arrival = arrivals.get(a.key());
        Map.Entry<Long, Long> left =
            remaining.get(arrival.budget()).floorEntry(VirtualTime.START_WALL_MILLIS + a.endedAt());
        if (left != null && left.getValue() >= arrival.reservedTokens()) {
          found.put(a.key(), arrival.worth());
        }
      }
    }
    return found;
  }

  /**
   * Returns the granted less the billed tokens, keyed by the wall-clock time in milliseconds of
   * each change.
   */
  private static NavigableMap<Long, Long> remainingTokensByTime(
      Observations observations, String budget) {
    TreeMap<Long, Long> changes = new TreeMap<>();
    for (TopUp t : observations.budgets().get(budget).topUps()) {
      changes.merge(t.atMillis(), t.tokens(), Long::sum);
    }
    for (BilledRow r : observations.bills()) {
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
