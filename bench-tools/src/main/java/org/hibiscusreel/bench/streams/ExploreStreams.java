package org.hibiscusreel.bench.streams;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.hibiscusreel.bench.explore.TraceShrinker;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Plays random plans and prints the seeds whose streams hold events of several versions. */
public final class ExploreStreams {

  private static final Pattern RANGE = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");
  private static final Pattern SOURCE =
      Pattern.compile("stream_origin .*source=(\\w+).*origin_service=");
  private static final int EXIT_FOUND = 1;
  private static final int EXIT_USAGE = 2;

  private static final int BATCH = 200;

  @Parameter(names = "--seeds", description = "First and last seed, such as 1..1000")
  private String seeds = "1..1000";

  @Parameter(names = "--threads", description = "Number of threads")
  private int threads = 2;

  @Parameter(names = "--fault", description = "Planned fault in the wiring of the daemons")
  private PlannedFault fault = PlannedFault.NONE;

  @Parameter(names = "--without", description = "Kinds of events that are left out")
  private List<RandomPlans.Kind> without = List.of();

  @Parameter(names = "--reduce", description = "Number of failing seeds whose plan is reduced")
  private int maxReduced = 20;

  @Parameter(
      names = "--faults",
      description = "Print the first seed that finds each planned fault, or the one of --fault")
  private boolean isFaultTable;

  @Parameter(names = "--details", description = "Print what callers saw and daemons logged")
  private boolean isDetailed;

  @Parameter(names = "--help", help = true)
  private boolean help;

  private final Map<String, Long> reasons = new TreeMap<>();

  private ExploreStreams() {}

  /** Result of one seed. */
  private record SeedRun(long seed, StreamRun run) {}

  /**
   * Runs the command.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    ExploreStreams e = new ExploreStreams();
    JCommander c =
        JCommander.newBuilder().addObject(e).programName("bench explore-streams").build();
    try {
      c.parse(args);
    } catch (ParameterException ex) {
      System.err.println(ex.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (e.help) {
      c.usage();
      return;
    }
    Matcher range = RANGE.matcher(e.seeds);
    if (!range.matches()
        || Long.parseLong(range.group(1)) > Long.parseLong(range.group(2))
        || e.threads < 1) {
      System.err.println("--seeds needs a range such as 1..1000, --threads 1 or more");
      System.exit(EXIT_USAGE);
    }
    boolean isFound =
        e.run(Long.parseLong(range.group(1)), Long.parseLong(range.group(2)), System.out);
    System.exit(isFound ? EXIT_FOUND : 0);
  }

  private boolean run(long first, long last, PrintStream out) {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      return isFaultTable
          ? printFaults(executor, first, last, out)
          : explore(executor, first, last, out);
    } finally {
      executor.shutdownNow();
    }
  }

  private boolean explore(ExecutorService executor, long first, long last, PrintStream out) {
    TakeUps takeUps = new TakeUps();
    long streams = 0;
    long joined = 0;
    int failing = 0;
    for (long from = first; from <= last; from += BATCH) {
      for (SeedRun r : playAll(executor, from, Math.min(last, from + BATCH - 1), fault)) {
        takeUps.add(r.run().takeUps());
        streams += r.run().streams();
        joined += r.run().joined().size();
        if (r.run().joined().isEmpty()) {
          continue;
        }
        failing++;
        if (failing <= maxReduced) {
          printReduced(r.seed(), out);
        } else {
          out.printf(
              "seed %d: %d streams joined, not reduced%n", r.seed(), r.run().joined().size());
        }
      }
    }
    printTakeUps(takeUps, out);
    reasons.forEach((reason, n) -> out.printf("%d reduced: %s%n", n, reason));
    out.printf(
        "seeds %d..%d: %d failing; %d of %d streams joined%n",
        first, last, failing, joined, streams);
    return failing > 0;
  }

  /** Prints for each planned fault the seeds that fail only with it. */
  private boolean printFaults(ExecutorService executor, long first, long last, PrintStream out) {
    Set<Long> failingWithout = failing(executor, first, last, PlannedFault.NONE);
    boolean isMissed = false;
    for (PlannedFault f : PlannedFault.values()) {
      if (f == PlannedFault.NONE || (fault != PlannedFault.NONE && f != fault)) {
        continue;
      }
      List<Long> found =
          failing(executor, first, last, f).stream()
              .filter(s -> !failingWithout.contains(s))
              .sorted()
              .toList();
      isMissed |= found.isEmpty();
      out.printf(
          "%s: first seed %s, %d of %d seeds%n",
          f, found.isEmpty() ? "none" : found.get(0), found.size(), last - first + 1);
    }
    return isMissed;
  }

  private Set<Long> failing(ExecutorService executor, long first, long last, PlannedFault f) {
    Set<Long> failing = new HashSet<>();
    for (long from = first; from <= last; from += BATCH) {
      playAll(executor, from, Math.min(last, from + BATCH - 1), f).stream()
          .filter(r -> !r.run().joined().isEmpty())
          .forEach(r -> failing.add(r.seed()));
    }
    return failing;
  }

  private List<SeedRun> playAll(ExecutorService executor, long first, long last, PlannedFault f) {
    List<Callable<SeedRun>> runs = new ArrayList<>();
    for (long s = first; s <= last; s++) {
      long seed = s;
      if (RandomPlans.isMinority(seed) && without.contains(RandomPlans.Kind.MINORITY)) {
        continue;
      }
      runs.add(() -> new SeedRun(seed, play(plan(seed), seed, f)));
    }
    try {
      List<SeedRun> results = new ArrayList<>();
      for (Future<SeedRun> r : executor.invokeAll(runs)) {
        results.add(r.get());
      }
      return results;
    } catch (ExecutionException e) {
      throw new IllegalStateException("a run failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
  }

  /**
   * Plays a plan.
   *
   * @param plan the plan
   * @param seed its seed
   * @param fault fault in the wiring
   */
  static StreamRun play(Plan plan, long seed, PlannedFault fault) {
    return StreamModel.run(plan, seed, fault, false);
  }

  private Plan plan(long seed) {
    return RandomPlans.without(RandomPlans.create(seed), Set.copyOf(without));
  }

  /** Returns the shortest plan found that still fails. */
  static Plan reduce(Plan plan, long seed, PlannedFault fault) {
    List<PlanEvent> events = plan.events();
    for (int block = events.size() / 2; block >= 1; block /= 2) {
      events =
          TraceShrinker.removeBlocks(
              events, block, e -> isFailing(plan.withEvents(e), seed, fault));
    }
    // An event may be needless only after a later one was removed.
    events = TraceShrinker.removeBlocks(events, 1, e -> isFailing(plan.withEvents(e), seed, fault));
    return plan.withEvents(events);
  }

  private static boolean isFailing(Plan plan, long seed, PlannedFault fault) {
    return !StreamModel.run(plan, seed, fault, false).joined().isEmpty();
  }

  private void printReduced(long seed, PrintStream out) {
    Plan plan = reduce(plan(seed), seed, fault);
    StreamRun run = StreamModel.run(plan, seed, fault, true);
    StreamRun.Joined joined = run.joined().get(0);
    out.printf(
        "seed %d: %s got %s; %d daemons, %s, era %s: %s%n",
        seed,
        joined.stream(),
        joined.origins().stream()
            .map(o -> o.service() + " " + o.softwareVersion())
            .collect(Collectors.joining(" then ")),
        plan.daemons(),
        plan.isNewestOnly() ? "newest changes" : "all changes",
        plan.namesEra() ? "named" : "unknown",
        plan.events().stream().map(String::valueOf).collect(Collectors.joining("; ")));
    reasons.merge(reason(plan, joined), 1L, Long::sum);
    if (isDetailed) {
      joined.history().forEach(h -> out.println("    caller " + h));
      joined.lines().forEach(l -> out.println("    daemon " + l));
    }
  }

  /** Names what a joined stream has in common with others: what it went on from, and the feed. */
  private static String reason(Plan plan, StreamRun.Joined joined) {
    boolean hasServices =
        joined.origins().stream().map(StreamOrigin::service).distinct().count() > 1;
    Set<String> sources = new TreeSet<>();
    for (String line : joined.lines()) {
      Matcher m = SOURCE.matcher(line);
      if (m.find()) {
        sources.add(m.group(1));
      }
    }
    return "%s, %s, conclusions from %s"
        .formatted(
            hasServices ? "two services" : "two versions",
            plan.isNewestOnly() ? "newest changes" : "all changes",
            sources);
  }

  private static void printTakeUps(TakeUps takeUps, PrintStream out) {
    Map<String, Long> total = new TreeMap<>();
    takeUps
        .counts()
        .forEach(
            (trouble, results) -> {
              long all = results.values().stream().mapToLong(Long::longValue).sum();
              out.printf("%s: %d taken up%n", trouble, all);
              results.forEach(
                  (result, n) -> {
                    out.printf("  %6d %5.1f%% %s%n", n, 100.0 * n / all, result);
                    total.merge(result, n, Long::sum);
                  });
            });
    long all = total.values().stream().mapToLong(Long::longValue).sum();
    out.printf("all: %d taken up%n", all);
    total.forEach((result, n) -> out.printf("  %6d %5.1f%% %s%n", n, 100.0 * n / all, result));
  }
}
