package org.hibiscusreel.bench.mutants;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.hibiscusreel.bench.sim.RandomTraces;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;

/** Runs each mutant on random traces until the checker detects it. */
public final class Mutants {

  @Parameter(names = "--seeds", description = "Most random traces per fault")
  private int maxSeeds = 200;

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Mutants() {}

  /**
   * Runs the command. The exit code is 1 if a mutant is not detected.
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
    long missed = Arrays.stream(Mutant.values()).filter(x -> !runAndPrint(x, m.maxSeeds)).count();
    System.out.printf("%d caught, %d missed%n", Mutant.values().length - missed, missed);
    System.exit(missed == 0 ? 0 : 1);
  }

  private static boolean runAndPrint(Mutant m, int maxSeeds) {
    OptionalLong seed = findSeed(m, maxSeeds);
    System.out.printf(
        "%-22s %-24s %s%n",
        m, m.invariant(), seed.isPresent() ? "caught by seed " + seed.getAsLong() : "MISSED");
    return seed.isPresent();
  }

  /**
   * Finds the first random trace on which the checker reports the expected violation.
   *
   * @param mutant the mutant
   * @param maxSeeds maximum number of traces to run
   * @return the seed of the trace, or empty if the mutant was not detected
   */
  static OptionalLong findSeed(Mutant mutant, int maxSeeds) {
    return LongStream.rangeClosed(1, maxSeeds).filter(s -> isDetected(mutant, s)).findFirst();
  }

  private static boolean isDetected(Mutant mutant, long seed) {
    Trace trace = RandomTraces.create(seed);
    return new Simulation(trace, seed, mutant.factory())
        .run().violations().stream().anyMatch(v -> v.promise() == mutant.invariant());
  }
}
