package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/** Generates random traces with a mixed load and a random, possibly overlapping set of faults. */
public final class RandomTraces {

  private static final long DURATION_MILLIS = 120_000;
  private static final int ARRIVALS = 150;
  private static final int MAX_FAULTS = 8;
  private static final int MAX_FAULT_MILLIS = 40_000;
  private static final List<String> DOMAINS = List.of("a", "b", "c");

  private RandomTraces() {}

  /**
   * Generates the trace of a seed.
   *
   * @param seed seed of the random number generator
   * @return the trace, always the same for the same seed
   */
  public static Trace create(long seed) {
    Random r = new Random(seed);
    List<Topology.Budget> budgets =
        List.of(
            new Topology.Budget(
                "tight", "acc-1", 2_000 + r.nextInt(4_000), AllotmentPolicy.BALANCED),
            new Topology.Budget("wide", "acc-1", 1_000_000, AllotmentPolicy.STRICT),
            new Topology.Budget("other", "acc-2", 20_000, AllotmentPolicy.OPEN));
    Topology t = Topology.uniform("site", DOMAINS, 2, 2, budgets);
    return new Trace(t, arrivals(r, budgets), faults(r, t));
  }

  private static List<Arrival> arrivals(Random r, List<Topology.Budget> budgets) {
    List<Arrival> out = new ArrayList<>();
    for (int i = 0; i < ARRIVALS; i++) {
      Topology.Budget b = budgets.get(r.nextInt(budgets.size()));
      int k = r.nextInt(10);
      Arrival.Kind kind =
          k < 6 ? Arrival.Kind.MODEL : k < 9 ? Arrival.Kind.ONCE : Arrival.Kind.REPEATABLE;
      out.add(
          new Arrival(
              r.nextInt((int) DURATION_MILLIS),
              "r" + i,
              b.account(),
              b.name(),
              DOMAINS.get(r.nextInt(DOMAINS.size())),
              kind,
              "prompt " + r.nextInt(20) + " of request " + i,
              1 + r.nextInt(60),
              1 + r.nextInt(10)));
    }
    out.sort(Comparator.comparingLong(Arrival::at));
    return out;
  }

  private static List<Fault> faults(Random r, Topology t) {
    List<Fault> out = new ArrayList<>();
    int n = 1 + r.nextInt(MAX_FAULTS);
    Fault.Kind[] kinds = Fault.Kind.values();
    for (int i = 0; i < n; i++) {
      Fault.Kind k = kinds[r.nextInt(kinds.length)];
      String domain = DOMAINS.get(r.nextInt(DOMAINS.size()));
      long at = r.nextInt((int) DURATION_MILLIS);
      long forMillis = 500L + r.nextInt(MAX_FAULT_MILLIS);
      out.add(fault(r, t, k, domain, at, forMillis));
    }
    out.sort(Comparator.comparingLong(Fault::at));
    return out;
  }

  private static Fault fault(
      Random r, Topology t, Fault.Kind k, String domain, long at, long forMillis) {
    List<String> hosts = t.hosts(domain);
    List<String> engines = t.engines(domain);
    String host = hosts.get(r.nextInt(hosts.size()));
    String engine = engines.get(r.nextInt(engines.size()));
    String other = r.nextBoolean() ? Links.PLATFORM : DOMAINS.get(r.nextInt(DOMAINS.size()));
    double probability = 0.05 + 0.4 * r.nextDouble();
    return switch (k) {
      case CUT -> new Fault(at, k, domain, other, forMillis, 0);
      case PLATFORM_SLOW -> new Fault(at, k, "", "", forMillis, 200 + r.nextInt(3_000));
      case KILL, PAUSE, STOP -> new Fault(at, k, host, "", forMillis, 0);
      case KILL_DOMAIN -> new Fault(at, k, domain, "", forMillis, 0);
      case ENGINE_CRASH, ENGINE_LEAVING -> new Fault(at, k, engine, "", 0, 0);
      case BROKEN_STREAMS -> new Fault(at, k, "", "", forMillis, probability / 10);
      case TOP_UP -> new Fault(at, k, "tight", "", 0, 1_000);
      default -> new Fault(at, k, "", "", forMillis, probability);
    };
  }
}
