package org.hibiscusreel.bench.compare;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.hibiscusreel.bench.sim.Trace;

/** Runs all policies on the same traces and seeds and compares the figures with the targets. */
public final class Compare {

  /** Target: largest ratio of the worth of false refusals to that of the static split. */
  private static final double MAX_FALSE_REFUSAL_RATIO = 0.1;

  /** Target: largest ratio of table writes to those of the central check. */
  private static final double MAX_WRITE_RATIO = 0.05;

  @Parameter(names = "--seeds", description = "Number of seeds")
  private int seeds = 1;

  @Parameter(names = "--first", description = "First seed")
  private long firstSeed = 1;

  @Parameter(names = "--trace", description = "Only the traces whose names contain this")
  private String traceFilter = "";

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Compare() {}

  /**
   * Runs the command. The exit status is 1 if the shipped policy violates a guarantee.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    Compare c = new Compare();
    JCommander commander =
        JCommander.newBuilder().addObject(c).programName("bench compare").build();
    commander.parse(args);
    if (c.help) {
      commander.usage();
      return;
    }
    System.exit(c.run(System.out) ? 0 : 1);
  }

  private record Job(String name, LongFunction<Trace> trace, Policy policy, long seed) {}

  private boolean run(PrintStream out) {
    List<Job> jobs = new ArrayList<>();
    for (Map.Entry<String, LongFunction<Trace>> e : DeploymentTraces.all().entrySet()) {
      if (e.getKey().contains(traceFilter)) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
          for (Policy p : Policy.values()) {
            jobs.add(new Job(e.getKey(), e.getValue(), p, seed));
          }
        }
      }
    }
    out.println(PolicyRun.HEADER);
    List<PolicyRun> rows =
        jobs.parallelStream()
            .map(j -> PolicyRun.run(j.name(), j.trace().apply(j.seed()), j.policy(), j.seed()))
            .toList();
    rows.forEach(r -> out.println(r.toLine()));
    for (String name : rows.stream().map(PolicyRun::trace).distinct().toList()) {
      List<PolicyRun> runs = rows.stream().filter(r -> r.trace().equals(name)).toList();
      out.printf("%s:%n", name);
      double worth = ratioToBaseline(runs, PolicyRun::falseRefusalWorth, Policy.STATIC_SPLIT);
      printTarget(out, "false refusals by worth, of static-split", worth, MAX_FALSE_REFUSAL_RATIO);
      double writes = ratioToBaseline(runs, PolicyRun::writes, Policy.CENTRAL_CHECK);
      printTarget(out, "all platform writes, of central-check", writes, MAX_WRITE_RATIO);
      double budgetWrites = ratioToBaseline(runs, PolicyRun::budgetWrites, Policy.CENTRAL_CHECK);
      printTarget(out, "writes of budget rows, of central-check", budgetWrites, MAX_WRITE_RATIO);
    }
    boolean isCorrect =
        rows.stream().filter(r -> r.policy() == Policy.SHIPPED).allMatch(PolicyRun::isCorrect);
    out.println(isCorrect ? "the shipped policy breaks no promise" : "A PROMISE IS BROKEN");
    return isCorrect;
  }

  private static double ratioToBaseline(
      List<PolicyRun> rows, ToDoubleFunction<PolicyRun> figure, Policy baseline) {
    return sum(rows, figure, Policy.SHIPPED) / sum(rows, figure, baseline);
  }

  private static double sum(
      List<PolicyRun> rows, ToDoubleFunction<PolicyRun> figure, Policy policy) {
    return rows.stream().filter(r -> r.policy() == policy).mapToDouble(figure).sum();
  }

  private static void printTarget(PrintStream out, String what, double share, double target) {
    out.printf(
        "  %-42s %6.3f  target %5.3f  %s%n",
        what, share, target, share <= target ? "met" : "MISSED");
  }
}
