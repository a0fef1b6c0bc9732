package org.hibiscusreel.bench.compare;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongFunction;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.Links;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/**
 * Traces of the two deployments described in the design documentation, of about one simulated hour
 * each.
 */
public final class DeploymentTraces {

  private static final long MINUTE_MILLIS = 60_000;
  private static final long DURATION_MILLIS = 60 * MINUTE_MILLIS;
  private static final long CUT_AT_MILLIS = 15 * MINUTE_MILLIS;
  private static final long CUT_DURATION_MILLIS = 30 * MINUTE_MILLIS;

  /**
   * Fraction of the calls of a client account that come from its home failure domain; the others
   * come from all failure domains with equal probability.
   */
  private static final double HOME_DOMAIN_SHARE = 0.5;

  private static final double SHORT_TRACE_REQUESTS_PER_SECOND = 0.5;

  private static final int MIN_PIECES = 4;
  private static final int MAX_PIECES = 12;

  /** Mean tokens of a request: about 18 of the prompt and 8 of the answer. */
  private static final double MEAN_TOKENS_PER_REQUEST = 26;

  /**
   * Ratio of the budget of each client account to the expected token usage of its calls in the
   * whole run. Most budgets are ample, some just suffice and some are exhausted before the end.
   */
  private static final double[] BUDGET_TO_USAGE_RATIOS = {3, 1.2, 0.9, 3, 3, 1.2, 0.8, 3, 3, 1.2};

  private DeploymentTraces() {}

  private record Site(
      String name,
      List<Topology.Domain> domains,
      double[] accountWeights,
      AllotmentPolicy lean,
      double requestsPerSecond) {}

  private static final Site COSTA_RICA =
      new Site(
          "costa-rica",
          List.of(
              new Topology.Domain("cr-a", 3, 3),
              new Topology.Domain("cr-b", 2, 3),
              new Topology.Domain("cr-c", 2, 2)),
          new double[] {25, 25, 20, 5, 5, 5, 5, 4, 3, 3},
          AllotmentPolicy.BALANCED,
          2);

  private static final Site BANGKOK =
      new Site(
          "bangkok",
          List.of(
              new Topology.Domain("bkk-a", 2, 4),
              new Topology.Domain("bkk-b", 2, 3),
              new Topology.Domain("bkk-c", 2, 3),
              new Topology.Domain("bkk-d", 1, 3)),
          new double[] {10, 10, 10, 10, 10, 10, 10, 10, 10, 10},
          AllotmentPolicy.OPEN,
          3);

  /**
   * Returns the one-hour traces by name.
   *
   * @return functions from a seed to a trace
   */
  public static Map<String, LongFunction<Trace>> all() {
    Map<String, LongFunction<Trace>> m = new LinkedHashMap<>();
    m.put(
        "costa-rica-cut",
        s ->
            trace(COSTA_RICA, s, DURATION_MILLIS, cut("cr-a", CUT_AT_MILLIS, CUT_DURATION_MILLIS)));
    m.put(
        "bangkok-cut",
        s -> trace(BANGKOK, s, DURATION_MILLIS, cut("bkk-a", CUT_AT_MILLIS, CUT_DURATION_MILLIS)));
    m.put("costa-rica-crashes", s -> trace(COSTA_RICA, s, DURATION_MILLIS, crashes()));
    return m;
  }

  /**
   * Returns ten-minute traces by name, which are small enough to be stored as files.
   *
   * @return functions from a seed to a trace
   */
  public static Map<String, LongFunction<Trace>> recordable() {
    Map<String, LongFunction<Trace>> m = new LinkedHashMap<>();
    m.put("costa-rica-short-cut", s -> shortCut(COSTA_RICA, "cr-a", s));
    m.put("bangkok-short-cut", s -> shortCut(BANGKOK, "bkk-a", s));
    return m;
  }

  private static Trace shortCut(Site site, String domain, long seed) {
    Site slower =
        new Site(
            site.name(),
            site.domains(),
            site.accountWeights(),
            site.lean(),
            SHORT_TRACE_REQUESTS_PER_SECOND);
    return trace(
        slower, seed, 10 * MINUTE_MILLIS, cut(domain, 3 * MINUTE_MILLIS, 5 * MINUTE_MILLIS));
  }

  private static List<Fault> cut(String domain, long atMillis, long durationMillis) {
    return List.of(new Fault(atMillis, Fault.Kind.CUT, domain, Links.PLATFORM, durationMillis, 0));
  }

  private static List<Fault> crashes() {
    return List.of(
        new Fault(8 * MINUTE_MILLIS, Fault.Kind.KILL, "cr-a-host-1", "", 20_000, 0),
        new Fault(14 * MINUTE_MILLIS, Fault.Kind.LOST_RESPONSES, "", "", 5 * MINUTE_MILLIS, 0.05),
        new Fault(16 * MINUTE_MILLIS, Fault.Kind.KILL, "cr-b-host-2", "", MINUTE_MILLIS, 0),
        new Fault(24 * MINUTE_MILLIS, Fault.Kind.PAUSE, "cr-c-host-1", "", 45_000, 0),
        new Fault(30 * MINUTE_MILLIS, Fault.Kind.PLATFORM_DOWN, "", "", 3 * MINUTE_MILLIS, 0),
        new Fault(31 * MINUTE_MILLIS, Fault.Kind.KILL, "cr-a-host-2", "", 30_000, 0),
        new Fault(36 * MINUTE_MILLIS, Fault.Kind.ENGINE_CRASH, "cr-a-engine-1", "", 0, 0),
        new Fault(40 * MINUTE_MILLIS, Fault.Kind.KILL_DOMAIN, "cr-c", "", 2 * MINUTE_MILLIS, 0),
        new Fault(50 * MINUTE_MILLIS, Fault.Kind.TOP_UP, "budget-6", "", 0, 5_000));
  }

  private static Trace trace(Site site, long seed, long durationMillis, List<Fault> faults) {
    Random r = new Random(seed);
    int count = (int) (site.requestsPerSecond() * durationMillis / 1_000);
    double sum = 0;
    for (double w : site.accountWeights()) {
      sum += w;
    }
    List<Topology.Budget> budgets = new ArrayList<>();
    for (int i = 0; i < site.accountWeights().length; i++) {
      double used = count * site.accountWeights()[i] / sum * MEAN_TOKENS_PER_REQUEST;
      long granted = Math.round(used * BUDGET_TO_USAGE_RATIOS[i]);
      budgets.add(new Topology.Budget("budget-" + i, "account-" + i, granted, site.lean()));
    }
    Topology t = new Topology(site.name(), site.domains(), budgets);
    List<Arrival> arrivals = new ArrayList<>();
    for (int n = 0; n < count; n++) {
      int account = pickWeighted(r, site.accountWeights(), sum);
      arrivals.add(arrival(r, t, account, n, durationMillis));
    }
    arrivals.sort(Comparator.comparingLong(Arrival::at));
    return new Trace(t, arrivals, faults);
  }

  private static int pickWeighted(Random r, double[] weights, double sum) {
    double x = r.nextDouble() * sum;
    int i = 0;
    while (i < weights.length - 1 && x >= weights[i]) {
      x -= weights[i++];
    }
    return i;
  }

  private static Arrival arrival(Random r, Topology t, int account, int n, long durationMillis) {
    List<String> domains = t.failureDomains();
    String home = domains.get(account % domains.size());
    String any = domains.get(r.nextInt(domains.size()));
    int k = r.nextInt(20);
    Arrival.Kind kind =
        k < 17 ? Arrival.Kind.MODEL : k < 19 ? Arrival.Kind.ONCE : Arrival.Kind.REPEATABLE;
    return new Arrival(
        (long) (r.nextDouble() * durationMillis),
        "r" + n,
        "account-" + account,
        "budget-" + account,
        r.nextDouble() < HOME_DOMAIN_SHARE ? home : any,
        kind,
        "prompt " + r.nextInt(50) + " of request " + n,
        MIN_PIECES + r.nextInt(MAX_PIECES - MIN_PIECES + 1),
        1 + r.nextInt(10));
  }
}
