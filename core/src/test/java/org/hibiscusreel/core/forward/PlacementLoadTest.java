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
 * Plays a load of long prompts, of which many begin alike, through eight daemons and eight
 * upstreams, and checks what callers get. The figures are those of the users' smaller site.
 */
class PlacementLoadTest {

  private static final int DAEMONS = 8;
  private static final int UPSTREAMS = 8;
  private static final double TOKENS_PER_MILLI = 56.6;
  private static final long MEMORY_TOKENS = 447_736;
  private static final long FIRST_STEP_MILLIS = 16;
  private static final long STREAM_MILLIS = 500;
  private static final long LENGTH_MILLIS = 60_000;
  private static final long REPORT_MILLIS = 15;

  /** Callers are spread by a hash, so that one daemon serves many of them. */
  private static final double BUSIEST_DAEMON_PART = 0.4;

  /** Kinds of requests: rate per second, shared tokens, own tokens, beginnings, objective. */
  private record Kind(double rate, long shared, long own, int beginnings, long targetMillis) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind(14.3, 13_300, 3_720, 115, 600),
          new Kind(9.8, 6_300, 2_890, 52, 1_200),
          new Kind(15.1, 350, 1_110, 122, 1_200));

  private enum Knowledge {
    /** Own requests only. */
    OWN,
    /** Own requests and the reports of the other daemons. */
    SHARED,
    /** Requests of all daemons, without regard to prompts. */
    LEAST_BUSY
  }

  /** What callers got. */
  private record Result(int requests, int late, long tokensReadAgain) {}

  private record Event(long atMillis, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return Long.compare(atMillis, other.atMillis());
    }
  }

  /** Reads prompts one after another and keeps the parts that were used last. */
  private static final class Upstream {

    private final Map<String, Long> kept = new LinkedHashMap<>(16, 0.75f, true);
    private long keptTokens;
    private double busyUntil;

    long read(PromptShape p, long now) {
      long cached = 0;
      for (PromptShape.Part part : p.sharedParts()) {
        cached += kept.getOrDefault(part.id(), 0L);
        if (kept.put(part.id(), part.tokens()) == null) {
          keptTokens += part.tokens();
        }
      }
      var oldest = kept.values().iterator();
      while (keptTokens > MEMORY_TOKENS / 2 && oldest.hasNext()) {
        keptTokens -= oldest.next();
        oldest.remove();
      }
      long tokens = p.promptTokens() - cached;
      busyUntil = Math.max(busyUntil, (double) now) + tokens / TOKENS_PER_MILLI;
      return tokens;
    }
  }

  private static final class Run {

    private final Knowledge knowledge;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<UpstreamEntry> entries = new ArrayList<>();
    private final UpstreamLoad[][] loads = new UpstreamLoad[DAEMONS][UPSTREAMS];
    private final PeerLoads[] reports = new PeerLoads[DAEMONS];
    private final Map<String, Long> readBefore = new LinkedHashMap<>();
    private long now;
    private long sequence;
    private int requests;
    private int late;
    private long tokensReadAgain;

    Run(Knowledge knowledge, long seed) {
      this.knowledge = knowledge;
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

    Result play() {
      KINDS.forEach(this::scheduleNext);
      while (!events.isEmpty()) {
        Event e = events.poll();
        now = e.atMillis();
        e.action().run();
      }
      return new Result(requests, late, tokensReadAgain);
    }

    private void after(double millis, Runnable action) {
      events.add(new Event(now + (long) Math.ceil(millis), action));
    }

    private void scheduleNext(Kind kind) {
      double pause = -1_000 / kind.rate() * Math.log(1 - random.nextDouble());
      if (now + pause < LENGTH_MILLIS) {
        after(
            pause,
            () -> {
              arrive(kind);
              scheduleNext(kind);
            });
      }
    }

    private void arrive(Kind kind) {
      boolean isBusiest = random.nextDouble() < BUSIEST_DAEMON_PART;
      int daemon = isBusiest ? 0 : 1 + random.nextInt(DAEMONS - 1);
      String beginning = kind.shared() + "-" + random.nextInt(kind.beginnings());
      long own = (long) (kind.own() * -Math.log(1 - random.nextDouble()));
      PromptShape p =
          new PromptShape(
              kind.shared() + own,
              100,
              List.of(
                  new PromptShape.Part(beginning, kind.shared()),
                  new PromptShape.Part("own", own)));
      Placement.Choice choice = choose(daemon, p);
      int u = entries.indexOf(choice.candidate().entry());
      UpstreamLoad load = loads[daemon][u];
      load.memory().onSent(p, MEMORY_TOKENS);
      load.onSent(choice.tokensToRead());
      report(daemon);
      long tokens = upstreams.get(u).read(p, now);
      boolean isReadAgain = tokens > own && readBefore.put(beginning, now) != null;
      tokensReadAgain += isReadAgain ? kind.shared() : 0;
      readBefore.putIfAbsent(beginning, now);
      double first = upstreams.get(u).busyUntil - now + FIRST_STEP_MILLIS;
      requests++;
      late += first > kind.targetMillis() ? 1 : 0;
      after(
          first,
          () -> {
            load.onRead(choice.tokensToRead());
            report(daemon);
          });
      after(first + STREAM_MILLIS, load::onEnded);
    }

    private Placement.Choice choose(int daemon, PromptShape prompt) {
      List<Placement.Candidate> candidates = new ArrayList<>();
      for (int u = 0; u < UPSTREAMS; u++) {
        PeerLoads.Load others =
            knowledge == Knowledge.OWN ? PeerLoads.Load.NONE : reports[daemon].at("u" + u);
        candidates.add(new Placement.Candidate(entries.get(u), loads[daemon][u], others));
      }
      Optional<PromptShape> known =
          knowledge == Knowledge.LEAST_BUSY ? Optional.empty() : Optional.of(prompt);
      return Placement.choose(candidates, known, "d", now, random::nextLong).orElseThrow();
    }

    private void report(int daemon) {
      List<LoadReport.Entry> list = new ArrayList<>();
      for (int u = 0; u < UPSTREAMS; u++) {
        UpstreamLoad l = loads[daemon][u];
        if (l.inFlight() > 0) {
          list.add(new LoadReport.Entry("u" + u, l.inFlight(), l.unreadTokens()));
        }
      }
      LoadReport r = new LoadReport("d" + daemon, ++sequence, list);
      after(
          REPORT_MILLIS,
          () -> {
            for (int d = 0; d < DAEMONS; d++) {
              if (d != daemon) {
                reports[d].onReport(r, now);
              }
            }
          });
    }
  }

  private Result play(Knowledge knowledge) {
    int requests = 0;
    int late = 0;
    long again = 0;
    for (long seed = 1; seed <= 5; seed++) {
      Result r = new Run(knowledge, seed).play();
      requests += r.requests();
      late += r.late();
      again += r.tokensReadAgain();
    }
    return new Result(requests, late, again);
  }

  /** Guards against prompts that queue behind those of other daemons while upstreams are idle. */
  @Test
  void sharedLoadsMakeFewerFirstEventsLateThanOwnCounts() {
    Result own = play(Knowledge.OWN);
    Result shared = play(Knowledge.SHARED);
    assertThat(shared.late()).as("%s against %s", shared, own).isLessThan(own.late());
  }

  /** Guards against a choice that spreads beginnings over all upstreams to shorten queues. */
  @Test
  void readsFewerBeginningsAgainThanTheLeastBusyUpstreamWould() {
    Result leastBusy = play(Knowledge.LEAST_BUSY);
    Result shared = play(Knowledge.SHARED);
    assertThat(shared.tokensReadAgain())
        .as("%s against %s", shared, leastBusy)
        .isLessThan(leastBusy.tokensReadAgain());
    assertThat(shared.late()).isLessThan(leastBusy.late());
  }
}
