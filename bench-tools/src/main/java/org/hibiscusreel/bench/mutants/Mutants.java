package org.hibiscusreel.bench.mutants;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.hibiscusreel.bench.sim.RandomTraces;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;

/** Runs each deliberate fault on random traces until the checker reports it. */
public final class Mutants {

  @Parameter(names = "--seeds", description = "Most random traces per fault")
  private int seeds = 200;

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Mutants() {}

  /**
   * Runs the command. The exit code is 1 if a fault is missed.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    Mutants m = new Mutants();
    JCommander c = JCommander.newBuilder().addObject(m).programName("bench mutants").build();
    c.parse(args);
    if (m.help) {
      c.usage();
      return;
    }
    long missed = Arrays.stream(Mutant.values()).filter(x -> !print(x, m.seeds)).count();
    System.out.printf("%d caught, %d missed%n", Mutant.values().length - missed, missed);
    System.exit(missed == 0 ? 0 : 1);
  }

  private static boolean print(Mutant m, int seeds) {
    OptionalLong seed = findSeed(m, seeds);
    System.out.printf(
        "%-22s %-24s %s%n",
        m, m.promise(), seed.isPresent() ? "caught by seed " + seed.getAsLong() : "MISSED");
    return seed.isPresent();
  }

  /**
   * Finds the first random trace at which the checker reports the promise that a fault breaks.
   *
   * @param mutant the fault
   * @param seeds most traces to run
   * @return the seed, or empty if the fault was missed
   */
  static OptionalLong findSeed(Mutant mutant, int seeds) {
    return LongStream.rangeClosed(1, seeds).filter(s -> isCaught(mutant, s)).findFirst();
  }

  private static boolean isCaught(Mutant mutant, long seed) {
    Trace trace = RandomTraces.create(seed);
    return new Simulation(trace, seed, mutant.factory())
        .run().violations().stream().anyMatch(v -> v.promise() == mutant.promise());
  }
}
