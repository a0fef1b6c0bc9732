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

/** Runs random schedules and prints each failing seed with a shortened schedule. */
public final class Explore {

  private static final int TIMELINE_EVENTS = 60;

  /** Bounds the output and the time to shorten schedules; further seeds are only listed. */
  private static final int MAX_SHORTENED = 3;

  private static final int MAX_VIOLATIONS = 10;
  private static final int MAX_ARRIVALS = 20;

  @Parameter(names = "--seeds", description = "Number of seeds")
  private int seeds = 1_000;

  @Parameter(names = "--first", description = "First seed")
  private long first = 1;

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
        LongStream.range(first, first + seeds).parallel().filter(Explore::fails).boxed().toList();
    failing.stream().limit(MAX_SHORTENED).forEach(seed -> print(out, seed));
    failing.stream().skip(MAX_SHORTENED).forEach(seed -> out.printf("seed %d fails%n", seed));
    out.printf("%d passed, %d failed%n", seeds - failing.size(), failing.size());
    return failing.size();
  }

  /**
   * Tells whether the schedule of a seed breaks a promise.
   *
   * @param seed the seed
   * @return true if a promise is broken
   */
  static boolean fails(long seed) {
    return !Simulation.run(RandomTraces.create(seed), seed).violations().isEmpty();
  }

  private static void print(PrintStream out, long seed) {
    Trace shortened =
        Shortener.shorten(
            RandomTraces.create(seed), t -> !Simulation.run(t, seed).violations().isEmpty());
    RunResult r = Simulation.run(shortened, seed);
    out.printf("seed %d:%n", seed);
    r.violations().stream().limit(MAX_VIOLATIONS).forEach(v -> out.println("  " + v));
    shortened.faults().forEach(f -> out.println("  " + f));
    shortened.arrivals().stream().limit(MAX_ARRIVALS).forEach(a -> out.println("  " + a));
    if (shortened.arrivals().size() > MAX_ARRIVALS) {
      out.printf("  and %d more arrivals%n", shortened.arrivals().size() - MAX_ARRIVALS);
    }
    List<TimelineEvent> events = r.timeline();
    IntStream.range(Math.max(0, events.size() - TIMELINE_EVENTS), events.size())
        .forEach(i -> out.println("    " + events.get(i)));
  }
}
