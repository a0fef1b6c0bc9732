package org.hibiscusreel.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/**
 * Counts the calls between daemons and to the table service that requests cause. The counts are
 * exact.
 */
final class RequestSlopes {

  private static final int[] REQUEST_COUNTS = {500, 1_000, 2_000, 4_000};
  private static final int[] BUDGET_COUNTS = {100, 200, 400, 800};
  private static final int ARRIVAL_PERIOD_MILLIS = 60_000;

  /** End of the simulation, late enough for the last bills to be written. */
  private static final int END_MILLIS = ARRIVAL_PERIOD_MILLIS + 40_000;

  private static final List<String> DOMAINS = List.of("a", "b", "c");
  private static final int DAEMONS_PER_DOMAIN = 4;
  private static final int ENGINES_PER_DOMAIN = 4;
  private static final int PIECES_PER_ANSWER = 10;

  private record Run(double requests, double budgets, Map<String, CallCounter.Count> counts) {

    CallCounter.Count count(String name) {
      return counts.getOrDefault(name, CallCounter.Count.NONE);
    }
  }

  List<Slope> measure(long seed) {
    List<Run> models = new ArrayList<>();
    List<Run> claims = new ArrayList<>();
    List<Run> budgets = new ArrayList<>();
    for (int n : REQUEST_COUNTS) {
      models.add(run(n, 20, Arrival.Kind.MODEL, seed));
      claims.add(run(n, 20, Arrival.Kind.ONCE, seed));
    }
    for (int n : BUDGET_COUNTS) {
      budgets.add(run(2 * n, n, Arrival.Kind.MODEL, seed));
    }
    List<Slope> out = new ArrayList<>();
    out.add(perRequest("reserve calls", "calls", models, r -> r.count("peers.reserve").calls()));
    out.add(perRequest("bytes of reserve", "B", models, r -> r.count("peers.reserve").bytes()));
    out.add(perRequest("settle calls", "calls", models, r -> r.count("peers.settle").calls()));
    out.add(perRequest("bytes of settle", "B", models, r -> r.count("peers.settle").bytes()));
    add(out, "bill", "request", models, Run::requests);
    add(out, "claim", "claimed call", claims, Run::requests);
    add(out, "bill", "claimed call", claims, Run::requests);
    add(out, "budget", "budget used", budgets, Run::budgets);
    add(out, "bill", "budget used, 2 requests each", budgets, Run::budgets);
    ToDoubleFunction<Run> batches = r -> r.count("table.transact.bill").calls();
    out.add(slope("rows of bills", "rows", "batch", models, batches, "table.transact.bill"));
    ToDoubleFunction<Run> draws = r -> r.count("table.transact.budget").calls();
    out.add(slope("rows of draws", "rows", "draw", budgets, draws, "table.transact.budget"));
    return out;
  }

  private static void add(
      List<Slope> out, String kind, String per, List<Run> runs, ToDoubleFunction<Run> x) {
    String name = "table.transact." + kind;
    out.add(slope(name + " transactions", per, runs, x, r -> r.count(name).calls()));
    out.add(slope(name + " rows", per, runs, x, r -> r.count(name).rows()));
    out.add(slope(name + " bytes", per, runs, x, r -> r.count(name).bytes()));
  }

  private static Slope perRequest(
      String quantity, String unit, List<Run> runs, ToDoubleFunction<Run> y) {
    return new Slope(quantity, unit, "request", points(runs, Run::requests, y));
  }

  private static Slope slope(
      String quantity,
      String unit,
      String per,
      List<Run> runs,
      ToDoubleFunction<Run> x,
      String name) {
    return new Slope(quantity, unit, per, points(runs, x, r -> r.count(name).rows()));
  }

  private static Slope slope(
      String quantity,
      String per,
      List<Run> runs,
      ToDoubleFunction<Run> x,
      ToDoubleFunction<Run> y) {
    return new Slope(quantity, quantity.endsWith("bytes") ? "B" : "count", per, points(runs, x, y));
  }

  private static List<Fit.Point> points(
      List<Run> runs, ToDoubleFunction<Run> x, ToDoubleFunction<Run> y) {
    return runs.stream().map(r -> new Fit.Point(x.applyAsDouble(r), y.applyAsDouble(r))).toList();
  }

  private static Run run(int requests, int budgets, Arrival.Kind kind, long seed) {
    Random random = new Random(seed);
    List<Topology.Budget> all = new ArrayList<>();
    for (int i = 0; i < budgets; i++) {
      all.add(
          new Topology.Budget(
              "budget-" + i, "account-" + i % 10, 1_000_000_000L, AllotmentPolicy.BALANCED));
    }
    List<Arrival> arrivals = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      Topology.Budget b = all.get(i % budgets);
      String domain = DOMAINS.get(random.nextInt(DOMAINS.size()));
      long at = (long) ARRIVAL_PERIOD_MILLIS * i / requests;
      arrivals.add(
          new Arrival(
              at,
              "request-" + i,
              b.account(),
              b.name(),
              domain,
              kind,
              "prompt " + i,
              PIECES_PER_ANSWER,
              1));
    }
    Topology t = Topology.uniform("site", DOMAINS, DAEMONS_PER_DOMAIN, ENGINES_PER_DOMAIN, all);
    CallCounter counts = new CallCounter();
    Simulation s =
        new Simulation(
            new Trace(t, arrivals, List.of()),
            seed,
            (settings, ports) -> new CoordinationNode(settings, counts.wrap(ports)));
    s.start();
    s.advanceTo(END_MILLIS);
    return new Run(requests, budgets, counts.snapshot());
  }
}
