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
 * A trace with its stated outcomes, kept as JSON lines.
 *
 * @param seed seed of the run
 * @param trace what happens
 * @param expected the stated outcomes
 */
public record RecordedTrace(long seed, Trace trace, Expected expected) {

  /**
   * Stated outcomes. Fewer refusals and more service than stated are accepted.
   *
   * @param violations number of broken promises
   * @param served number of requests whose caller received a whole answer, at least
   * @param worthServed their worth, at least
   * @param refusals refused attempts by code, at most
   */
  public record Expected(
      int violations, int served, double worthServed, Map<String, Integer> refusals) {

    /** Copies the map. */
    public Expected {
      refusals = new TreeMap<>(refusals);
    }

    /**
     * Reads the outcomes of a run.
     *
     * @param result the run
     * @return its outcomes
     */
    public static Expected of(RunResult result) {
      Map<String, Double> served = new TreeMap<>();
      Map<String, Integer> refusals = new TreeMap<>();
      for (Attempt a : result.seen().attempts()) {
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
     * Compares stated outcomes with those of a run.
     *
     * @param seen outcomes of the run
     * @return the differences, empty if the run is as good as stated
     */
    public List<String> differences(Expected seen) {
      List<String> out = new ArrayList<>();
      if (seen.violations != violations) {
        out.add("violations: stated " + violations + ", seen " + seen.violations);
      }
      if (seen.served < served) {
        out.add("served: stated at least " + served + ", seen " + seen.served);
      }
      if (seen.worthServed < worthServed) {
        out.add("worth served: stated at least " + worthServed + ", seen " + seen.worthServed);
      }
      seen.refusals.forEach(
          (code, count) -> {
            int most = refusals.getOrDefault(code, 0);
            if (count > most) {
              out.add("refused with " + code + ": stated at most " + most + ", seen " + count);
            }
          });
      return out;
    }
  }

  /** One line of the file: exactly one of the parts is present. */
  private record Line(
      Long seed, Topology topology, Arrival arrival, Fault fault, Expected expected) {}

  /**
   * Reads a file.
   *
   * @param file the file
   * @return the trace
   * @throws IOException if the file can't be read
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
   * Writes a file.
   *
   * @param file the file, replaced if present
   * @throws IOException if the file can't be written
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
