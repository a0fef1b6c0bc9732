package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Random plans, each around one release during which daemons are out of step. */
final class RandomPlans {

  /** Events that can be left out, to find what fails without them. */
  enum Kind {
    /** An upstream starts again under its identity at another version. */
    RESTART,
    /** Its entry is of the version before for a while after such a start. */
    LATE_ENTRY,
    /** The route is led to other services. */
    ROUTE,
    /** The feed has only the newest change of each row. */
    NEWEST_ONLY,
    /** All daemons but one lose the store together, and that one knows of a version. */
    MINORITY
  }

  /** Time in which an upstream lists itself after its start. */
  private static final long PROMPT_MILLIS = 5;

  private static final String FIRST = "s";
  private static final String SECOND = "t";

  /** Longest time after the middle of the release at which an event is due. */
  private static final int SPREAD_MILLIS = 8_000;

  private static final long AFTER_MILLIS = 16_000;
  private static final long MINORITY_MILLIS = 14_000;
  private static final long STREAM_BEFORE_MILLIS = 2_500;
  private static final int MAX_STREAMS = 24;

  private final SplittableRandom random;
  private final List<PlanEvent> events = new ArrayList<>();
  private final List<String> listed = new ArrayList<>();
  private final int daemons;
  private final boolean isMinority;
  private final boolean namesEra;
  private final boolean hasSecondService;
  private long releaseMillis;
  private int outOfStep;
  private int upstreams;

  private RandomPlans(long seed) {
    random = new SplittableRandom(seed);
    isMinority = isMinority(seed);
    daemons = 2 + random.nextInt(4);
    namesEra = isDrawn(0.7);
    hasSecondService = isDrawn(0.5);
  }

  /** Returns whether in the plan of a seed one daemon knows more than all others. */
  static boolean isMinority(long seed) {
    return new SplittableRandom(~seed).nextInt(10) == 0;
  }

  /** Returns the plan of a seed. */
  static Plan create(long seed) {
    return new RandomPlans(seed).build();
  }

  /** Returns a plan without the events of some kinds. */
  static Plan without(Plan plan, Set<Kind> kinds) {
    Map<String, StreamOrigin> started = new HashMap<>();
    List<PlanEvent> kept = new ArrayList<>();
    for (PlanEvent e : plan.events()) {
      boolean isRestart =
          e instanceof PlanEvent.Join j
              && !started.merge(j.upstream(), j.origin(), (a, b) -> a).equals(j.origin());
      boolean isLeftOut =
          (isRestart && kinds.contains(Kind.RESTART))
              || (e instanceof PlanEvent.Configure && kinds.contains(Kind.ROUTE));
      if (!isLeftOut && isRestart && kinds.contains(Kind.LATE_ENTRY)) {
        PlanEvent.Join j = (PlanEvent.Join) e;
        kept.add(new PlanEvent.Join(j.atMillis(), j.upstream(), j.origin(), PROMPT_MILLIS));
      } else if (!isLeftOut) {
        kept.add(e);
      }
    }
    boolean isNewestOnly = plan.isNewestOnly() && !kinds.contains(Kind.NEWEST_ONLY);
    return new Plan(
        plan.daemons(), isNewestOnly, plan.namesEra(), plan.hasLoad(), plan.millis(), kept);
  }

  private Plan build() {
    final boolean isNewestOnly = isDrawn(0.5);
    releaseMillis = isDrawn(0.4) ? 3_000 + random.nextInt(8_000) : 19_000 + random.nextInt(6_000);
    if (isMinority) {
      // Without the store, only daemons that have run for a while are relied on.
      releaseMillis += MINORITY_MILLIS;
    }
    outOfStep = random.nextInt(daemons);
    addFirstUpstreams();
    if (isMinority) {
      addMinority();
    } else if (isDrawn(0.5)) {
      addBriefVersion();
    } else {
      addTroubleOfDaemon(outOfStep);
      addRelease();
      addEndsOfDaemons();
      addStreams();
    }
    if (isDrawn(0.35)) {
      addTroubleOfDaemon(random.nextInt(daemons));
    }
    if (isDrawn(0.6)) {
      addTroubleOfAll();
    }
    if (hasSecondService && isDrawn(0.7)) {
      addConfigurations();
    }
    events.sort(Comparator.comparingLong(PlanEvent::atMillis));
    return new Plan(
        daemons, isNewestOnly, namesEra, isMinority, releaseMillis + AFTER_MILLIS, events);
  }

  private boolean isDrawn(double probability) {
    return random.nextDouble() < probability;
  }

  private long between(long from, long to) {
    return from + random.nextLong(to - from + 1);
  }

  /** Returns a time near the release. */
  private long near() {
    return releaseMillis + between(-1_000, SPREAD_MILLIS);
  }

  private void join(long atMillis, String service, String version) {
    String id = "u" + ++upstreams;
    listed.add(id);
    long listedAfter = isDrawn(0.8) ? PROMPT_MILLIS : between(PROMPT_MILLIS, 400);
    events.add(new PlanEvent.Join(atMillis, id, new StreamOrigin(service, version), listedAfter));
  }

  private void addFirstUpstreams() {
    boolean hasTwoVersions = isDrawn(0.2);
    join(0, FIRST, "v1");
    join(0, FIRST, hasTwoVersions ? "v0" : "v1");
    if (hasSecondService) {
      join(0, SECOND, isDrawn(0.5) ? "v1" : "v9");
    }
  }

  private void addTroubleOfDaemon(int daemon) {
    long at = releaseMillis + between(-2_500, 2_000);
    long millis = between(isDrawn(0.2) ? 20 : 300, isDrawn(0.3) ? 12_000 : 5_000);
    switch (random.nextInt(8)) {
      case 0, 1 -> addStandStill(at, daemon, millis);
      case 2 -> addCutStore(at, daemon, millis);
      case 3 -> events.add(new PlanEvent.CutPeers(at, daemon, millis));
      case 4 -> {
        addCutStore(at, daemon, millis);
        events.add(new PlanEvent.CutPeers(at, daemon, millis));
      }
      case 5 -> {
        addCutStore(at, daemon, millis);
        addStandStill(at + between(0, millis), daemon, between(20, 4_000));
      }
      case 6 -> events.add(new PlanEvent.SlowStore(at, daemon, millis, between(50, 900)));
      default -> events.add(new PlanEvent.Kill(at, daemon, between(100, 3_000)));
    }
  }

  private void addStandStill(long at, int daemon, long millis) {
    events.add(new PlanEvent.StandStill(at, daemon, millis, isDrawn(0.5), isDrawn(0.5)));
  }

  private void addCutStore(long at, int daemon, long millis) {
    StoreLink.State[] states = {
      StoreLink.State.RESET,
      StoreLink.State.REFUSED,
      StoreLink.State.DEAF,
      StoreLink.State.HANGING,
      StoreLink.State.HANGING,
      StoreLink.State.UPSTREAMS_HANGING,
      StoreLink.State.ROWS_HANGING
    };
    events.add(new PlanEvent.CutStore(at, daemon, millis, states[random.nextInt(states.length)]));
  }

  private void addRelease() {
    int joining = 1 + random.nextInt(3);
    List<String> before = List.copyOf(listed);
    for (int i = 0; i < joining; i++) {
      long at = releaseMillis + between(0, 3_000);
      if (isDrawn(0.12)) {
        String id = before.get(random.nextInt(before.size()));
        StreamOrigin other = new StreamOrigin(FIRST, "v2");
        StreamOrigin same = originOf(id);
        events.add(new PlanEvent.Join(at, id, isDrawn(0.5) ? other : same, between(5, 1_500)));
        continue;
      }
      String service = hasSecondService && isDrawn(0.2) ? SECOND : FIRST;
      join(at, service, isDrawn(0.85) ? "v2" : "v3");
      if (isDrawn(0.35)) {
        leave(at + between(300, 4_000), listed.get(listed.size() - 1));
      }
    }
    for (String id : before) {
      if (isDrawn(0.35)) {
        leave(releaseMillis + between(0, 5_000), id);
      }
    }
    if (isDrawn(0.4)) {
      events.add(
          new PlanEvent.Crash(
              near(), listed.get(random.nextInt(listed.size())), between(500, 4_000)));
    }
  }

  private StreamOrigin originOf(String id) {
    return events.stream()
        .filter(e -> e instanceof PlanEvent.Join j && j.upstream().equals(id))
        .map(e -> ((PlanEvent.Join) e).origin())
        .findFirst()
        .orElseThrow();
  }

  private void leave(long atMillis, String id) {
    long unlistedAfter = isDrawn(0.5) ? 0 : between(0, 3_000);
    events.add(
        new PlanEvent.Leave(
            atMillis, id, isDrawn(0.4), unlistedAfter, unlistedAfter + between(0, 5_000)));
  }

  private void addEndsOfDaemons() {
    double drawn = random.nextDouble();
    long at = releaseMillis + between(200, 6_000);
    if (drawn < 0.08) {
      for (int d = 0; d < daemons; d++) {
        events.add(new PlanEvent.Kill(at, d, between(100, 1_500)));
      }
    } else if (drawn < 0.6) {
      int killed = (outOfStep + 1 + random.nextInt(daemons - 1)) % daemons;
      long startsAfter = isDrawn(0.6) ? between(100, 5_000) : -1;
      events.add(
          isDrawn(0.85)
              ? new PlanEvent.Kill(at, killed, startsAfter)
              : new PlanEvent.Stop(at, killed, Math.abs(startsAfter)));
    }
  }

  private void addTroubleOfAll() {
    if (isDrawn(0.25)) {
      events.add(
          new PlanEvent.DisturbDatagrams(
              near(),
              between(500, 8_000),
              isDrawn(0.5) ? 0.5 : 0.1,
              isDrawn(0.5) ? 0.3 : 0,
              isDrawn(0.5) ? 1_500 : 20));
    }
    if (isDrawn(0.15)) {
      events.add(new PlanEvent.LateWrites(near(), between(500, 6_000), 0.4));
    }
    if (isDrawn(0.15)) {
      events.add(new PlanEvent.LoseHistory(near()));
    }
    if (isDrawn(0.1)) {
      long at = releaseMillis + between(-1_500, 2_000);
      long millis = between(500, 6_000);
      for (int d = 0; d < daemons; d++) {
        if (isDrawn(0.8)) {
          addCutStore(at, d, millis);
        }
      }
    }
    if (namesEra && isDrawn(0.12)) {
      events.add(new PlanEvent.Restore(near(), between(300, 9_000), between(200, 2_500)));
    }
  }

  /**
   * Adds a version that is in use only while one daemon is out of step, and streams that begin at
   * it through the others and are taken up at that daemon.
   */
  private void addBriefVersion() {
    long from = releaseMillis;
    long millis = between(1_000, 6_000);
    final long until = from + millis;
    addOutOfStep(from, millis);
    long joinsAt = from + between(20, millis / 2);
    long leavesAt = joinsAt + (isDrawn(0.2) ? between(100, 240) : between(300, millis));
    join(joinsAt, FIRST, "v2");
    final String joined = listed.get(listed.size() - 1);
    if (isDrawn(0.3)) {
      join(joinsAt, FIRST, "v2");
      leave(leavesAt + between(0, 500), listed.get(listed.size() - 1));
    }
    if (isDrawn(0.75)) {
      events.add(
          new PlanEvent.Leave(
              leavesAt, joined, isDrawn(0.2), 0, between(0, isDrawn(0.5) ? 500 : 8_000)));
    }
    if (isDrawn(0.75)) {
      long endsAt = joinsAt + between(200, millis);
      for (int d = 0; d < daemons; d++) {
        if (d != outOfStep && isDrawn(0.85)) {
          events.add(
              new PlanEvent.Kill(
                  endsAt + between(0, 200), d, isDrawn(0.5) ? -1 : between(300, 5_000)));
        }
      }
    }
    int count = 6 + random.nextInt(MAX_STREAMS - 6);
    for (int i = 1; i <= count; i++) {
      long at = joinsAt + between(10, Math.max(200, leavesAt - joinsAt));
      long breaksAfter = between(80, 800);
      long takenUpAt =
          between(at + breaksAfter + 20, Math.max(at + breaksAfter + 20, until + 3_000));
      int first = (outOfStep + 1 + random.nextInt(daemons - 1)) % daemons;
      events.add(
          new PlanEvent.Begin(
              at,
              "c" + i,
              List.of(first, outOfStep, outOfStep, random.nextInt(daemons)),
              List.of(breaksAfter),
              takenUpAt - at - breaksAfter,
              isDrawn(0.4),
              isDrawn(0.7),
              isDrawn(0.2)));
    }
  }

  /**
   * Adds a version that only one daemon knows, since all others have lost the store, and streams
   * that begin there and are taken up at the others.
   */
  private void addMinority() {
    final long from = releaseMillis;
    final long millis = between(1_500, 7_000);
    for (int d = 0; d < daemons; d++) {
      if (d != outOfStep && isDrawn(0.9)) {
        addCutStore(from + between(-200, 200), d, millis + between(0, 3_000));
      }
    }
    if (isDrawn(0.8)) {
      events.add(new PlanEvent.CutPeers(from, outOfStep, millis + between(0, 2_000)));
    }
    long joinsAt = from + between(50, 800);
    join(joinsAt, FIRST, "v2");
    if (isDrawn(0.3)) {
      leave(joinsAt + between(300, millis), listed.get(listed.size() - 1));
    }
    if (isDrawn(0.6)) {
      events.add(
          new PlanEvent.Kill(
              joinsAt + between(300, millis), outOfStep, isDrawn(0.5) ? -1 : between(300, 5_000)));
    }
    int count = 6 + random.nextInt(MAX_STREAMS - 6);
    for (int i = 1; i <= count; i++) {
      int other = (outOfStep + 1 + random.nextInt(daemons - 1)) % daemons;
      events.add(
          new PlanEvent.Begin(
              joinsAt + between(10, millis / 2),
              "c" + i,
              List.of(outOfStep, other, random.nextInt(daemons), other),
              List.of(between(80, 800)),
              between(20, 3_000),
              isDrawn(0.4),
              isDrawn(0.7),
              isDrawn(0.2)));
    }
  }

  private void addOutOfStep(long from, long millis) {
    long peersMillis = millis + (isDrawn(0.5) ? 0 : between(0, 3_000));
    switch (random.nextInt(5)) {
      case 0 -> addStandStill(from, outOfStep, millis);
      case 1 -> {
        addStandStill(from, outOfStep, millis);
        events.add(new PlanEvent.CutPeers(from, outOfStep, peersMillis));
      }
      case 2 -> {
        events.add(new PlanEvent.Kill(from, outOfStep, millis));
        if (namesEra && isDrawn(0.5)) {
          events.add(
              new PlanEvent.Restore(
                  from + millis + between(-1_500, 500), between(500, 9_000), 500));
        }
      }
      default -> {
        addCutStore(from, outOfStep, millis);
        events.add(new PlanEvent.CutPeers(from, outOfStep, peersMillis));
        if (isDrawn(0.2)) {
          events.add(new PlanEvent.LoseHistory(from + between(0, millis)));
        }
      }
    }
  }

  private void addConfigurations() {
    int changes = 1 + random.nextInt(3);
    for (int i = 0; i < changes; i++) {
      List<String> services =
          switch (random.nextInt(6)) {
            case 0 -> List.of();
            case 1 -> List.of(FIRST);
            case 2 -> List.of(FIRST, SECOND);
            default -> List.of(SECOND);
          };
      events.add(new PlanEvent.Configure(near(), services));
    }
    if (isDrawn(0.5)) {
      events.add(
          new PlanEvent.CutStore(
              releaseMillis + between(-1_000, 3_000),
              random.nextInt(daemons),
              between(300, 5_000),
              StoreLink.State.CONFIGURATION_HANGING));
    }
  }

  private void addStreams() {
    int count = 8 + random.nextInt(MAX_STREAMS - 8);
    for (int i = 1; i <= count; i++) {
      final long at = releaseMillis + between(-STREAM_BEFORE_MILLIS, SPREAD_MILLIS);
      List<Integer> order = new ArrayList<>();
      order.add(random.nextInt(daemons));
      order.add(isDrawn(0.6) ? outOfStep : random.nextInt(daemons));
      for (int k = 0; k < 4; k++) {
        order.add(random.nextInt(daemons));
      }
      List<Long> breaks = new ArrayList<>();
      if (isDrawn(0.75)) {
        breaks.add(between(60, isDrawn(0.5) ? 400 : 2_400));
        if (isDrawn(0.3)) {
          breaks.add(between(100, 2_000));
        }
      }
      events.add(
          new PlanEvent.Begin(
              at,
              "c" + i,
              order,
              breaks,
              between(20, 500),
              isDrawn(0.6),
              isDrawn(0.7),
              isDrawn(0.2)));
    }
  }
}
