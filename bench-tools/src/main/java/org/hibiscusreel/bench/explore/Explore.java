package org.hibiscusreel.bench.explore;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.PrintStream;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.hibiscusreel.bench.sim.RandomTraces;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.core.timeline.TimelineEvent;

/** Simulates random traces and prints the failing seeds, the first ones with a reduced trace. */
public final class Explore {

  private static final int MAX_TIMELINE_EVENTS = 60;

  /** Limits the output and the time spent on reducing traces; other failures are only listed. */
  private static final int MAX_SHRUNK_SEEDS = 3;

  private static final int MAX_VIOLATIONS = 10;
  private static final int MAX_ARRIVALS = 20;

  @Parameter(names = "--seeds", description = "Number of seeds")
  private int seedCount = 1_000;

  @Parameter(names = "--first", description = "First seed")
  private long firstSeed = 1;

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Explore() {}

  /**
   * Runs the command.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    Explore e = new Explore();
    JCommander c = JCommander.newBuilder().addObject(e).programName("bench explore").build();
    c.parse(args);
    if (e.help) {
      c.usage();
      return;
    }
    System.exit(e.run(System.out) == 0 ? 0 : 1);
  }

  private int run(PrintStream out) {
    List<Long> failing =
        LongStream.range(firstSeed, firstSeed + seedCount)
            .parallel()
            .filter(Explore::fails)
            .boxed()
            .toList();
    failing.stream().limit(MAX_SHRUNK_SEEDS).forEach(seed -> printShrunkTrace(out, seed));
    failing.stream().skip(MAX_SHRUNK_SEEDS).forEach(seed -> out.printf("seed %d fails%n", seed));
    out.printf("%d passed, %d failed%n", seedCount - failing.size(), failing.size());
    return failing.size();
  }

  /**
   * Returns whether the random trace of a seed violates an invariant.
   *
   * @param seed seed of the trace and of the simulation
   * @return true if an invariant is violated
   */
  static boolean fails(long seed) {
    return !Simulation.run(RandomTraces.create(seed), seed).violations().isEmpty();
  }

  private static void printShrunkTrace(PrintStream out, long seed) {
    Trace shrunk =
        TraceShrinker.shrink(
            RandomTraces.create(seed), t -> !Simulation.run(t, seed).violations().isEmpty());
    RunResult r = Simulation.run(shrunk, seed);
    out.printf("seed %d:%n", seed);
    r.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> out.println("  " + v));
    shrunk.faults().forEach(f -> out.println("  " + f));
    shrunk.arrivals().stream().limit(MAX_ARRIVALS).forEach(a -> out.println("  " + a));
    if (shrunk.arrivals().size() > MAX_ARRIVALS) {
      out.printf("  and %d more arrivals%n", shrunk.arrivals().size() - MAX_ARRIVALS);
    }
    List<TimelineEvent> events = r.timeline();
    IntStream.range(Math.max(0, events.size() - MAX_TIMELINE_EVENTS), events.size())
        .forEach(i -> out.println("    " + events.get(i)));
  }
}
