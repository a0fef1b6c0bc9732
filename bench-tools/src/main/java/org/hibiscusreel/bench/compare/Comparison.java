package org.hibiscusreel.bench.compare;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.check.Violation.Promise;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Figures of one run.
 *
 * @param trace name of the trace
 * @param policy the policy
 * @param seed seed of the trace and of the run
 * @param requests number of requests
 * @param worthOffered worth of all requests
 * @param worthServed worth of the requests whose caller received a whole answer
 * @param falseRefusals requests refused although the budget had the tokens
 * @param falseRefusalWorth their worth
 * @param broken violations by promise
 * @param strandedTokens tokens drawn by daemons that no longer run, beyond what was billed
 * @param writes transactions of the platform
 * @param budgetWrites those of them that change a budget row
 * @param reads reads and scans of the platform
 * @param seconds virtual duration
 * @param messagesPerDaemonSecond calls between daemons
 * @param firstTokenP50 first piece of a served model call after its submission, in milliseconds
 * @param firstTokenP95 the 95th percentile of it, in milliseconds
 */
record Comparison(
    String trace,
    Policy policy,
    long seed,
    int requests,
    double worthOffered,
    double worthServed,
    int falseRefusals,
    double falseRefusalWorth,
    Map<Promise, Long> broken,
    long strandedTokens,
    long writes,
    long budgetWrites,
    long reads,
    double seconds,
    double messagesPerDaemonSecond,
    long firstTokenP50,
    long firstTokenP95) {

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
  static Comparison run(String name, Trace trace, Policy policy, long seed) {
    BudgetWrites budgetWrites = new BudgetWrites();
    Simulation s =
        new Simulation(trace, seed, budgetWrites.counting(policy.factory(trace.topology())));
    RunResult r = s.run();
    Map<RequestKey, Double> refused = FalseRefusals.find(trace, r.seen());
    Map<Promise, Long> broken = new HashMap<>();
    r.violations().forEach(v -> broken.merge(v.promise(), 1L, Long::sum));
    Set<RequestKey> served = new HashSet<>();
    double worth = 0;
    Histogram firstToken = new Histogram(3);
    for (Attempt a : r.seen().attempts()) {
      if (a.outcome() instanceof Outcome.Whole && served.add(a.key())) {
        worth += a.worth();
        if (!a.service()) {
          firstToken.recordValue(a.firstPieceAt() - a.submittedAt());
        }
      }
    }
    double seconds = r.durationMillis() / MILLIS_PER_SECOND;
    int daemons =
        trace.topology().failureDomains().stream()
            .mapToInt(d -> trace.topology().hosts(d).size())
            .sum();
    return new Comparison(
        name,
        policy,
        seed,
        trace.arrivals().size(),
        trace.arrivals().stream().mapToDouble(a -> a.worth()).sum(),
        worth,
        refused.size(),
        refused.values().stream().mapToDouble(w -> w).sum(),
        broken,
        r.strandedTokens(),
        r.platformWrites(),
        budgetWrites.count(),
        r.platformReads(),
        seconds,
        r.peerMessages() / seconds / daemons,
        firstToken.getValueAtPercentile(50),
        firstToken.getValueAtPercentile(95));
  }

  private long broken(Promise p) {
    return broken.getOrDefault(p, 0L);
  }

  /** Tells whether no promise was broken. */
  boolean isCorrect() {
    return broken.isEmpty();
  }

  /** Returns the figures as a line below {@link #HEADER}. */
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
        broken(Promise.OVERSPEND),
        broken(Promise.BILLED_TWICE),
        broken(Promise.UNBILLED),
        broken(Promise.WRONG_AMOUNT),
        broken(Promise.RUN_TWICE),
        broken(Promise.INCOMPLETE_ANSWER),
        broken(Promise.UNTRUE_REFUSAL),
        strandedTokens,
        writes / seconds,
        budgetWrites,
        reads / seconds,
        messagesPerDaemonSecond,
        firstTokenP50,
        firstTokenP95);
  }
}
