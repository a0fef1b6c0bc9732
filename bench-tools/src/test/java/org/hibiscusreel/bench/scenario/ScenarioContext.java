package org.hibiscusreel.bench.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.coordination.node.CoordinationNode;

/** State shared by the steps of a scenario: its topology, load, faults and simulation. */
public final class ScenarioContext {

  private static final int MAX_PIECES = 60;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long SEED = 7;

  private final Random random = new Random(SEED);
  private final List<Topology.Budget> budgets = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Fault> faults = new ArrayList<>();
  private List<String> domains = List.of("a", "b");
  private int hosts = 2;
  private int engines = 2;
  private Simulation simulation;
  private RunResult result;
  private boolean started;

  void setTopology(List<String> names, int hostsPerDomain, int enginesPerDomain) {
    domains = names;
    hosts = hostsPerDomain;
    engines = enginesPerDomain;
  }

  List<Topology.Budget> budgets() {
    return budgets;
  }

  void addLoad(
      int count, String budget, String domain, Arrival.Kind kind, int fromSeconds, int toSeconds) {
    for (int i = 0; i < count; i++) {
      long span = (toSeconds - fromSeconds) * MILLIS_PER_SECOND;
      long at = fromSeconds * MILLIS_PER_SECOND + (long) (random.nextDouble() * span);
      String d = domain.isEmpty() ? domains.get(random.nextInt(domains.size())) : domain;
      int n = arrivals.size();
      int pieces = 1 + random.nextInt(MAX_PIECES);
      arrivals.add(
          new Arrival(at, "r" + n, "acc", budget, d, kind, "prompt of " + n, pieces, 1 + n % 5));
    }
  }

  void addCall(String budget, String domain, String prompt, int pieces, int atSeconds) {
    arrivals.add(
        new Arrival(
            atSeconds * MILLIS_PER_SECOND,
            "call-" + arrivals.size(),
            "acc",
            budget,
            domain,
            Arrival.Kind.MODEL,
            prompt,
            pieces,
            1));
  }

  void addFault(
      Fault.Kind kind, String target, String other, int atSeconds, int forSeconds, double amount) {
    faults.add(
        new Fault(
            atSeconds * MILLIS_PER_SECOND,
            kind,
            target,
            other,
            forSeconds * MILLIS_PER_SECOND,
            amount));
  }

  Simulation simulation() {
    if (simulation == null) {
      arrivals.sort(Comparator.comparingLong(Arrival::at));
      faults.sort(Comparator.comparingLong(Fault::at));
      Topology t = Topology.uniform("site", domains, hosts, engines, budgets);
      simulation = new Simulation(new Trace(t, arrivals, faults), SEED, CoordinationNode::new);
    }
    return simulation;
  }

  /** Advances the simulation to a time without ending it. */
  void advanceTo(int seconds) {
    start();
    simulation().advanceTo(seconds * MILLIS_PER_SECOND);
  }

  private void start() {
    if (!started) {
      started = true;
      simulation().start();
    }
  }

  RunResult result() {
    if (result == null) {
      start();
      simulation().advanceTo(simulation().trace().end());
      simulation().settle();
      result = simulation().result();
    }
    return result;
  }
}
