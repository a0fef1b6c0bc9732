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

  /** Target: false refusals by worth at most this share of those of a static split. */
  private static final double FALSE_REFUSAL_SHARE = 0.1;

  /** Target: platform writes at most this share of those of a central check. */
  private static final double WRITE_SHARE = 0.05;

  @Parameter(names = "--seeds", description = "Number of seeds")
  private int seeds = 1;

  @Parameter(names = "--first", description = "First seed")
  private long first = 1;

  @Parameter(names = "--trace", description = "Only the traces whose names contain this")
  private String only = "";

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Compare() {}

  /**
   * Runs the command. The exit code is 1 if the shipped policy breaks a promise.
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
      if (e.getKey().contains(only)) {
        for (long seed = first; seed < first + seeds; seed++) {
          for (Policy p : Policy.values()) {
            jobs.add(new Job(e.getKey(), e.getValue(), p, seed));
          }
        }
      }
    }
    out.println(Comparison.HEADER);
    List<Comparison> rows =
        jobs.parallelStream()
            .map(j -> Comparison.run(j.name(), j.trace().apply(j.seed()), j.policy(), j.seed()))
            .toList();
    rows.forEach(r -> out.println(r.toLine()));
    for (String name : rows.stream().map(Comparison::trace).distinct().toList()) {
      List<Comparison> of = rows.stream().filter(r -> r.trace().equals(name)).toList();
      out.printf("%s:%n", name);
      double worth = share(of, Comparison::falseRefusalWorth, Policy.STATIC_SPLIT);
      print(out, "false refusals by worth, of static-split", worth, FALSE_REFUSAL_SHARE);
      double writes = share(of, Comparison::writes, Policy.CENTRAL_CHECK);
      print(out, "all platform writes, of central-check", writes, WRITE_SHARE);
      double budgetWrites = share(of, Comparison::budgetWrites, Policy.CENTRAL_CHECK);
      print(out, "writes of budget rows, of central-check", budgetWrites, WRITE_SHARE);
    }
    boolean isCorrect =
        rows.stream().filter(r -> r.policy() == Policy.SHIPPED).allMatch(Comparison::isCorrect);
    out.println(isCorrect ? "the shipped policy breaks no promise" : "A PROMISE IS BROKEN");
    return isCorrect;
  }

  private static double share(
      List<Comparison> rows, ToDoubleFunction<Comparison> figure, Policy baseline) {
    return sum(rows, figure, Policy.SHIPPED) / sum(rows, figure, baseline);
  }

  private static double sum(
      List<Comparison> rows, ToDoubleFunction<Comparison> figure, Policy policy) {
    return rows.stream().filter(r -> r.policy() == policy).mapToDouble(figure).sum();
  }

  private static void print(PrintStream out, String what, double share, double target) {
    out.printf(
        "  %-42s %6.3f  target %5.3f  %s%n",
        what, share, target, share <= target ? "met" : "MISSED");
  }
}
