package org.hibiscusreel.bench.slopes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/** Measures the calls and the CPU time of idle daemons as a function of the number of daemons. */
final class FleetSlopes {

  private static final int DOMAINS = 7;

  /** Larger fleets take many minutes of CPU time; the results are extrapolated to 410 daemons. */
  private static final int[] DAEMONS_PER_DOMAIN = {4, 8, 15, 30};

  /** The system is designed for 880 engines and 410 daemons. */
  private static final double ENGINES_PER_DAEMON = 880 / 410.0;

  /** Time after which the daemons know each other and no startup updates are sent any more. */
  private static final long WARMUP_MILLIS = 90_000;

  private static final long MEASURE_MILLIS = 60_000;

  private final Map<String, List<Fit.Point>> points = new LinkedHashMap<>();
  private final Map<String, String> units = new LinkedHashMap<>();

  /** Measures fleets of all sizes. */
  List<Slope> measure(long seed) {
    for (int n : DAEMONS_PER_DOMAIN) {
      measureFleet(n, seed);
    }
    List<Slope> slopes = new ArrayList<>();
    points.forEach((name, p) -> slopes.add(new Slope(name, units.get(name), "daemon", p)));
    return slopes;
  }

  private void measureFleet(int perDomain, long seed) {
    List<String> domains = IntStream.rangeClosed(1, DOMAINS).mapToObj(i -> "domain" + i).toList();
    int engines = (int) Math.round(perDomain * ENGINES_PER_DAEMON);
    List<Topology.Budget> budgets =
        List.of(new Topology.Budget("main", "account", 1_000_000, AllotmentPolicy.BALANCED));
    Topology t = Topology.uniform("site", domains, perDomain, engines, budgets);
    CallCounter counts = new CallCounter();
    Simulation s =
        new Simulation(
            new Trace(t, List.of(), List.of()),
            seed,
            (settings, ports) -> new CoordinationNode(settings, counts.wrap(ports)));
    s.start();
    s.advanceTo(WARMUP_MILLIS);
    final Map<String, CallCounter.Count> earlier = counts.snapshot();
    final long reads = s.table().reads();
    final long writes = s.table().writes();
    final long events = counts.events();
    long cpu = ResourceUsage.cpuNanos();
    s.advanceTo(WARMUP_MILLIS + MEASURE_MILLIS);
    int daemons = perDomain * DOMAINS;
    double daemonSeconds = daemons * MEASURE_MILLIS / 1_000.0;
    cpu = ResourceUsage.cpuNanos() - cpu;
    CallCounter.Count probes = counts.countsSince(earlier, "peers.probe");
    add("probes sent, per daemon", "1/s", daemons, probes.calls() / daemonSeconds);
    add("bytes of a probe with its response", "B", daemons, 1.0 * probes.bytes() / probes.calls());
    add(
        "bytes of probes sent and received, per daemon",
        "B/s",
        daemons,
        2 * probes.bytes() / daemonSeconds);
    add(
        "table reads and scans, per daemon",
        "1/s",
        daemons,
        (s.table().reads() - reads) / daemonSeconds);
    add("table reads and scans, fleet", "1/s", daemons, perSecond(s.table().reads() - reads));
    add("table transactions, fleet", "1/s", daemons, perSecond(s.table().writes() - writes));
    addCalls(counts, earlier, "table.read", daemons);
    addCalls(counts, earlier, "table.scan", daemons);
    addCalls(counts, earlier, "hosts.fetch", daemons);
    addCalls(counts, earlier, "engines.load", daemons);
    addCalls(counts, earlier, "engines.cacheEvents", daemons);
    addCalls(counts, earlier, "engines.state", daemons);
    addCalls(counts, earlier, "table.transact.day", daemons);
    add("events recorded, per daemon", "1/s", daemons, (counts.events() - events) / daemonSeconds);
    add("CPU of decisions without I/O, per daemon", "us/s", daemons, cpu / 1e3 / daemonSeconds);
  }

  private static double perSecond(long calls) {
    return calls * 1_000.0 / MEASURE_MILLIS;
  }

  private void addCalls(
      CallCounter counts, Map<String, CallCounter.Count> earlier, String name, int daemons) {
    double daemonSeconds = daemons * MEASURE_MILLIS / 1_000.0;
    add(
        name + ", per daemon",
        "1/s",
        daemons,
        counts.countsSince(earlier, name).calls() / daemonSeconds);
  }

  private void add(String name, String unit, int daemons, double value) {
    units.put(name, unit);
    points.computeIfAbsent(name, n -> new ArrayList<>()).add(new Fit.Point(daemons, value));
  }
}
