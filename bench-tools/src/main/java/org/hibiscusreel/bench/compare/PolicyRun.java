package org.hibiscusreel.bench.compare;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.check.Violation.Invariant;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Results of one run of a trace with a policy.
 *
 * @param trace name of the trace
 * @param policy the policy
 * @param seed seed of the trace and of the run
 * @param requests number of requests
 * @param worthOffered worth of all requests
 * @param worthServed worth of the requests whose caller received a complete answer
 * @param falseRefusals number of requests refused although the budget had enough tokens
 * @param falseRefusalWorth worth of the falsely refused requests
 * @param violations number of violations by guarantee
 * @param strandedTokens tokens drawn by daemons that no longer run, less the tokens billed
 * @param writes transactions of the table service
 * @param budgetWrites transactions that change a budget row
 * @param reads reads and scans of the table service
 * @param seconds simulated duration in seconds
 * @param messagesPerDaemonSecond calls between daemons, per daemon and second
 * @param firstTokenP50Millis median time from submission to first piece of served model calls, in
 *     milliseconds
 * @param firstTokenP95Millis 95th percentile of the time from submission to first piece of served
 *     model calls, in milliseconds
 */
record PolicyRun(
    String trace,
    Policy policy,
    long seed,
    int requests,
    double worthOffered,
    double worthServed,
    int falseRefusals,
    double falseRefusalWorth,
    Map<Invariant, Long> violations,
    long strandedTokens,
    long writes,
    long budgetWrites,
    long reads,
    double seconds,
    double messagesPerDaemonSecond,
    long firstTokenP50Millis,
    long firstTokenP95Millis) {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  static final String HEADER =
      String.format(
          "%-18s %-13s %4s %6s %7s %6s %5s %7s %5s %5s %5s %5s %5s %5s %6s %5s %8s %9s %7s %7s %4s"
              + " %4s",
          "trace",
          "policy",
          "seed",
          "reqs",
          "offered",
          "served",
          "false",
          "f.worth",
          "overs",
          "twice",
          "unbil",
          "amnt",
          "ran2",
          "incom",
          "untrue",
          "strnd",
          "writes/s",
          "budget-w",
          "reads/s",
          "msgs/s",
          "p50",
          "p95");

  /** Runs a trace with a policy. */
  static PolicyRun run(String name, Trace trace, Policy policy, long seed) {
    BudgetWriteCounter budgetWrites = new BudgetWriteCounter();
    Simulation simulation =
        new Simulation(trace, seed, budgetWrites.wrap(policy.factory(trace.topology())));
    RunResult result = simulation.run();
    Map<RequestKey, Double> refused = FalseRefusals.find(trace, result.observations());
    Map<Invariant, Long> broken = new HashMap<>();
    result.violations().forEach(v -> broken.merge(v.promise(), 1L, Long::sum));
    Set<RequestKey> served = new HashSet<>();
    double worth = 0;
    Histogram firstToken = new Histogram(3);
    for (Attempt a : result.observations().attempts()) {
      if (a.outcome() instanceof Outcome.Whole && served.add(a.key())) {
        worth += a.worth();
        if (!a.service()) {
          firstToken.recordValue(a.firstPieceAt() - a.submittedAt());
        }
      }
    }
    double seconds = result.durationMillis() / MILLIS_PER_SECOND;
    int daemons =
        trace.topology().failureDomains().stream()
            .mapToInt(d -> trace.topology().hosts(d).size())
            .sum();
    return new PolicyRun(
        name,
        policy,
        seed,
        trace.arrivals().size(),
        trace.arrivals().stream().mapToDouble(a -> a.worth()).sum(),
        worth,
        refused.size(),
        refused.values().stream().mapToDouble(w -> w).sum(),
        broken,
        result.strandedTokens(),
        result.platformWrites(),
        budgetWrites.count(),
        result.platformReads(),
        seconds,
        result.peerMessages() / seconds / daemons,
        firstToken.getValueAtPercentile(50),
        firstToken.getValueAtPercentile(95));
  }

  private long violations(Invariant p) {
    return violations.getOrDefault(p, 0L);
  }

  /** Returns whether no guarantee was violated. */
  boolean isCorrect() {
    return violations.isEmpty();
  }

  /** Formats the results as a line of the table with the header {@link #HEADER}. */
  String toLine() {
    return String.format(
        Locale.ROOT,
        "%-18s %-13s %4d %6d %7.0f %6.0f %5d %7.0f %5d %5d %5d %5d %5d %5d %6d %5d %8.2f %9d %7.2f"
            + " %7.2f %4d %4d",
        trace,
        policy.label(),
        seed,
        requests,
        worthOffered,
        worthServed,
        falseRefusals,
        falseRefusalWorth,
        violations(Invariant.OVERSPEND),
        violations(Invariant.BILLED_TWICE),
        violations(Invariant.UNBILLED),
        violations(Invariant.WRONG_AMOUNT),
        violations(Invariant.RUN_TWICE),
        violations(Invariant.INCOMPLETE_ANSWER),
        violations(Invariant.UNTRUE_REFUSAL),
        strandedTokens,
        writes / seconds,
        budgetWrites,
        reads / seconds,
        messagesPerDaemonSecond,
        firstTokenP50Millis,
        firstTokenP95Millis);
  }
}
