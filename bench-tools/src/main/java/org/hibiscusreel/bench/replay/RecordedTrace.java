package org.hibiscusreel.bench.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.coordination.platform.Json;

/**
 * A trace with its expected outcomes, stored in JSON Lines format.
 *
 * @param seed seed of the simulation
 * @param trace requests and faults
 * @param expected the expected outcomes
 */
public record RecordedTrace(long seed, Trace trace, Expected expected) {

  /**
   * Expected outcomes of a run. Fewer refusals and more served requests are accepted.
   *
   * @param violations exact number of violations of invariants
   * @param served minimum number of requests whose caller received a complete answer
   * @param worthServed minimum total worth of these requests
   * @param refusals maximum number of refused attempts by error code
   */
  public record Expected(
      int violations, int served, double worthServed, Map<String, Integer> refusals) {

    /** Creates expected outcomes with a sorted copy of the map. */
    public Expected {
      refusals = new TreeMap<>(refusals);
    }

    /**
     * Returns the outcomes of a run.
     *
     * @param result result of the run
     * @return the outcomes
     */
    public static Expected of(RunResult result) {
      Map<String, Double> served = new TreeMap<>();
      Map<String, Integer> refusals = new TreeMap<>();
      for (Attempt a : result.observations().attempts()) {
        if (a.outcome() instanceof Outcome.Whole) {
          served.put(a.key().toString(), a.worth());
        } else if (a.outcome() instanceof Outcome.Refused r) {
          refusals.merge(r.code(), 1, Integer::sum);
        }
      }
      double worth = served.values().stream().mapToDouble(w -> w).sum();
      return new Expected(result.violations().size(), served.size(), worth, refusals);
    }

    /**
     * Compares these expected outcomes with the actual ones of a run.
     *
     * @param actual outcomes of the run
     * @return the differences that are not accepted, empty if there are none
     */
    public List<String> differences(Expected actual) {
      List<String> out = new ArrayList<>();
      if (actual.violations != violations) {
        out.add("violations: stated " + violations + ", seen " + actual.violations);
      }
      if (actual.served < served) {
        out.add("served: stated at least " + served + ", seen " + actual.served);
      }
      if (actual.worthServed < worthServed) {
        out.add("worth served: stated at least " + worthServed + ", seen " + actual.worthServed);
      }
      actual.refusals.forEach(
          (code, count) -> {
            int most = refusals.getOrDefault(code, 0);
            if (count > most) {
              out.add("refused with " + code + ": stated at most " + most + ", seen " + count);
            }
          });
      return out;
    }
  }

  /** A line of the file; exactly one component is present. */
  private record Line(
      Long seed, Topology topology, Arrival arrival, Fault fault, Expected expected) {}

  /**
   * Reads a trace from a file.
   *
   * @param file the file
   * @return the recorded trace
   * @throws IOException if the file cannot be read
   * @throws IllegalArgumentException if the seed, the topology or the outcomes are missing
   */
  public static RecordedTrace read(Path file) throws IOException {
    Optional<Long> seed = Optional.empty();
    Optional<Topology> topology = Optional.empty();
    Optional<Expected> expected = Optional.empty();
    List<Arrival> arrivals = new ArrayList<>();
    List<Fault> faults = new ArrayList<>();
    for (String text : Files.readAllLines(file)) {
      Line l = Json.read(text, Line.class);
      seed = seed.or(() -> Optional.ofNullable(l.seed));
      topology = topology.or(() -> Optional.ofNullable(l.topology));
      expected = expected.or(() -> Optional.ofNullable(l.expected));
      Optional.ofNullable(l.arrival).ifPresent(arrivals::add);
      Optional.ofNullable(l.fault).ifPresent(faults::add);
    }
    if (seed.isEmpty() || topology.isEmpty() || expected.isEmpty()) {
      throw new IllegalArgumentException(file + " needs a seed, a topology and outcomes");
    }
    return new RecordedTrace(
        seed.get(), new Trace(topology.get(), arrivals, faults), expected.get());
  }

  /**
   * Writes this trace to a file.
   *
   * @param file the file, overwritten if it exists
   * @throws IOException if the file cannot be written
   */
  public void write(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add(Json.write(Map.of("seed", seed)));
    lines.add(Json.write(Map.of("topology", trace.topology())));
    trace.faults().forEach(f -> lines.add(Json.write(Map.of("fault", f))));
    trace.arrivals().forEach(a -> lines.add(Json.write(Map.of("arrival", a))));
    lines.add(Json.write(Map.of("expected", expected)));
    Files.write(file, lines);
  }
}
