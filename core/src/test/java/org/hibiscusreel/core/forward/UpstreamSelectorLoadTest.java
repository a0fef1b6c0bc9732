package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Simulates eight daemons and eight upstreams under a load of long prompts, many of which share a
 * prefix, and checks the latency that callers see. The load figures are those of the users' smaller
 * site.
 */
class UpstreamSelectorLoadTest {

  private static final int DAEMONS = 8;
  private static final int UPSTREAMS = 8;
  private static final double PREFILL_TOKENS_PER_MILLI = 56.6;
  private static final long CACHE_CAPACITY_TOKENS = 447_736;
  private static final long FIRST_STEP_MILLIS = 16;
  private static final long STREAM_MILLIS = 500;
  private static final long RUN_MILLIS = 60_000;
  private static final long REPORT_DELAY_MILLIS = 15;

  /**
   * Fraction of the requests that the busiest daemon gets. Callers are assigned by hash, which is
   * uneven.
   */
  private static final double BUSIEST_DAEMON_FRACTION = 0.4;

  /**
   * Kind of requests: rate per second, tokens of the shared prefix, mean tokens of the own part,
   * number of prefixes, latency target.
   */
  private record Kind(double rate, long shared, long own, int prefixes, long targetMillis) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(14.3, 13_300, 3_720, 115, 600),
          new Kind(9.8, 6_300, 2_890, 52, 1_200),
          new Kind(15.1, 350, 1_110, 122, 1_200));

  private enum LoadInformation {
    /** The daemon's own requests only. */
    OWN,
    /** The daemon's own requests and the reports of the other daemons. */
    SHARED,
    /** Requests of all daemons, ignoring the prompts. */
    LEAST_BUSY
  }

  /** Aggregate outcome of a run. */
  private record Result(int requests, int late, long redundantPrefillTokens) {}

  private record Event(long atMillis, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return Long.compare(atMillis, other.atMillis());
    }
  }

  /** Prefills prompts one after another and caches the most recently used parts. */
  private static final class Upstream {

    private final Map<String, Long> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double busyUntil;

    long prefill(PromptShape p, long now) {
      long cached = 0;
      for (PromptShape.Part part : p.sharedPrefixParts()) {
        cached += cachedParts.getOrDefault(part.id(), 0L);
        if (cachedParts.put(part.id(), part.tokens()) == null) {
          cachedTokens += part.tokens();
        }
      }
      var oldest = cachedParts.values().iterator();
      while (cachedTokens > CACHE_CAPACITY_TOKENS / 2 && oldest.hasNext()) {
        cachedTokens -= oldest.next();
        oldest.remove();
      }
      long tokens = p.promptTokens() - cached;
      busyUntil = Math.max(busyUntil, (double) now) + tokens / PREFILL_TOKENS_PER_MILLI;
      return tokens;
    }
  }

  private static final class Run {

    private final LoadInformation information;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<UpstreamEntry> entries = new ArrayList<>();
    private final UpstreamLoad[][] loads = new UpstreamLoad[DAEMONS][UPSTREAMS];
    private final PeerLoads[] reports = new PeerLoads[DAEMONS];
    private final Map<String, Long> prefilledAtMillis = new LinkedHashMap<>();
    private long now;
    private long sequence;
    private int requests;
    private int late;
    private long redundantPrefillTokens;

    Run(LoadInformation information, long seed) {
      this.information = information;
      this.random = new Random(seed);
      for (int u = 0; u < UPSTREAMS; u++) {
        upstreams.add(new Upstream());
        entries.add(new UpstreamEntry("u" + u, "s", "a:" + u, "d", false, 64, 0));
        for (int d = 0; d < DAEMONS; d++) {
          loads[d][u] = new UpstreamLoad();
        }
      }
      for (int d = 0; d < DAEMONS; d++) {
        reports[d] = new PeerLoads();
      }
    }

    Result runSimulation() {
      KINDS.forEach(this::scheduleNext);
      while (!events.isEmpty()) {
        Event e = events.poll();
        now = e.atMillis();
        e.action().run();
      }
      return new Result(requests, late, redundantPrefillTokens);
    }

    private void schedule(double millis, Runnable action) {
      events.add(new Event(now + (long) Math.ceil(millis), action));
    }

    private void scheduleNext(Kind kind) {
      double pause = -1_000 / kind.rate() * Math.log(1 - random.nextDouble());
      if (now + pause < RUN_MILLIS) {
        schedule(
            pause,
            () -> {
              handleArrival(kind);
              scheduleNext(kind);
            });
      }
    }

    private void handleArrival(Kind kind) {
      boolean isBusiest = random.nextDouble() < BUSIEST_DAEMON_FRACTION;
      int daemon = isBusiest ? 0 : 1 + random.nextInt(DAEMONS - 1);
      String prefix = kind.shared() + "-" + random.nextInt(kind.prefixes());
      long own = (long) (kind.own() * -Math.log(1 - random.nextDouble()));
      PromptShape p =
          new PromptShape(
              kind.shared() + own,
              100,
              List.of(
                  new PromptShape.Part(prefix, kind.shared()), new PromptShape.Part("own", own)));
      UpstreamSelector.Choice choice = choose(daemon, p);
      int u = entries.indexOf(choice.candidate().entry());
      UpstreamLoad load = loads[daemon][u];
      load.prefixCache().recordPrompt(p, CACHE_CAPACITY_TOKENS);
      load.onSent(choice.prefillTokens());
      report(daemon);
      long tokens = upstreams.get(u).prefill(p, now);
      boolean isRedundant = tokens > own && prefilledAtMillis.put(prefix, now) != null;
      redundantPrefillTokens += isRedundant ? kind.shared() : 0;
      prefilledAtMillis.putIfAbsent(prefix, now);
      double firstEventMillis = upstreams.get(u).busyUntil - now + FIRST_STEP_MILLIS;
      requests++;
      late += firstEventMillis > kind.targetMillis() ? 1 : 0;
      schedule(
          firstEventMillis,
          () -> {
            load.onPrefillEnded(choice.prefillTokens());
            report(daemon);
          });
      schedule(firstEventMillis + STREAM_MILLIS, load::onEnded);
    }

    private UpstreamSelector.Choice choose(int daemon, PromptShape prompt) {
      List<UpstreamSelector.Candidate> candidates = new ArrayList<>();
      for (int u = 0; u < UPSTREAMS; u++) {
        PeerLoads.Load others =
            information == LoadInformation.OWN ? PeerLoads.Load.NONE : reports[daemon].at("u" + u);
        candidates.add(new UpstreamSelector.Candidate(entries.get(u), loads[daemon][u], others));
      }
      Optional<PromptShape> known =
          information == LoadInformation.LEAST_BUSY ? Optional.empty() : Optional.of(prompt);
      return UpstreamSelector.choose(candidates, known, "d", now, random::nextLong).orElseThrow();
    }

    private void report(int daemon) {
      List<LoadReport.Entry> list = new ArrayList<>();
      for (int u = 0; u < UPSTREAMS; u++) {
        UpstreamLoad l = loads[daemon][u];
        if (l.inFlight() > 0) {
          list.add(new LoadReport.Entry("u" + u, l.inFlight(), l.pendingPrefillTokens()));
        }
      }
      LoadReport r =
          new LoadReport("d" + daemon, ++sequence, 0, list, List.of(), List.of(), Optional.empty());
      schedule(
          REPORT_DELAY_MILLIS,
          () -> {
            for (int d = 0; d < DAEMONS; d++) {
              if (d != daemon) {
                reports[d].onReport(r, now);
              }
            }
          });
    }
  }

  private Result runSimulation(LoadInformation information) {
    int requests = 0;
    int late = 0;
    long redundant = 0;
    for (long seed = 1; seed <= 5; seed++) {
      Result r = new Run(information, seed).runSimulation();
      requests += r.requests();
      late += r.late();
      redundant += r.redundantPrefillTokens();
    }
    return new Result(requests, late, redundant);
  }

  /**
   * Guards against prompts queueing behind those of other daemons while other upstreams are idle.
   */
  @Test
  void sharedLoadReportsReduceLateFirstEvents() {
    Result own = runSimulation(LoadInformation.OWN);
    Result shared = runSimulation(LoadInformation.SHARED);
    assertThat(shared.late()).as("%s against %s", shared, own).isLessThan(own.late());
  }

  /** Guards against a policy that spreads each prefix over all upstreams to shorten queues. */
  @Test
  void prefillsFewerPrefixesAgainThanLeastBusyPolicy() {
    Result leastBusy = runSimulation(LoadInformation.LEAST_BUSY);
    Result shared = runSimulation(LoadInformation.SHARED);
    assertThat(shared.redundantPrefillTokens())
        .as("%s against %s", shared, leastBusy)
        .isLessThan(leastBusy.redundantPrefillTokens());
    assertThat(shared.late()).isLessThan(leastBusy.late());
  }
}
