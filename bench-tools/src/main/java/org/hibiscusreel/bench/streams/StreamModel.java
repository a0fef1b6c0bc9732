package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Plays a plan with the shipped classes on virtual time. */
final class StreamModel implements ModelCaller.Fleet {

  /** Time for which a trouble of a daemon is named after it ended. */
  private static final long RECENT_MILLIS = 16_000;

  /** Interval of the streams of the load, shorter than a stream. */
  private static final long LOAD_INTERVAL_MILLIS = 2_000;

  private static final long LOAD_PAUSE_MILLIS = 200;
  private static final long FIRST_START_MILLIS = 1_000;
  private static final long STOP_GRACE_MILLIS = 3_000;
  private static final long RESTORED_CONFIGURATION_MILLIS = 2_000;
  private static final String CONFIGURATION_KEY = ModelStore.CONFIGURATION + "//c";

  /** Line of a daemon's log, with the stream that it concerns if it names one. */
  private record Line(String stream, String text) {}

  private final Plan plan;
  private final PlannedFault fault;
  private final boolean isTraced;
  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final ModelStore store;
  private final ModelUpstreams upstreams;
  private final DatagramNetwork network;
  private final List<StoreLink> links = new ArrayList<>();
  private final List<Optional<ModelDaemon>> daemons = new ArrayList<>();
  private final List<ModelCaller> callers = new ArrayList<>();
  private final List<Map<String, Long>> troubles = new ArrayList<>(); // with their ends
  private final List<Line> lines = new ArrayList<>();
  private final TakeUps takeUps = new TakeUps();
  private int incarnations;
  private long configuration;
  private List<String> services = List.of();

  private StreamModel(Plan plan, long seed, PlannedFault fault, boolean isTraced) {
    this.plan = plan;
    this.fault = fault;
    this.isTraced = isTraced;
    this.random = new SplittableRandom(seed);
    this.store = new ModelStore(time, random.split(), plan.isNewestOnly(), plan.namesEra());
    this.upstreams = new ModelUpstreams(time, store);
    this.network = new DatagramNetwork(time, random.split());
  }

  /**
   * Plays a plan.
   *
   * @param plan the plan
   * @param seed seed of all that the plan leaves open
   * @param fault fault in the wiring
   * @param isTraced whether lines of the daemons' logs are kept
   */
  static StreamRun run(Plan plan, long seed, PlannedFault fault, boolean isTraced) {
    return new StreamModel(plan, seed, fault, isTraced).run();
  }

  private StreamRun run() {
    configure(List.of("s"));
    for (int d = 0; d < plan.daemons(); d++) {
      links.add(new StoreLink(time, random.split()));
      daemons.add(Optional.empty());
      troubles.add(new HashMap<>());
      int index = d;
      time.schedule(50L * d, () -> start(index));
    }
    if (plan.hasLoad()) {
      time.schedule(LOAD_INTERVAL_MILLIS, () -> beginLoad(1));
    }
    plan.events().forEach(e -> time.schedule(e.atMillis(), () -> play(e)));
    time.runUntil(plan.millis());
    List<StreamRun.Joined> joined =
        callers.stream()
            .filter(c -> c.origins().size() > 1)
            .map(
                c ->
                    new StreamRun.Joined(c.stream(), c.origins(), c.history(), linesOf(c.stream())))
            .toList();
    return new StreamRun(joined, callers.size(), takeUps);
  }

  /** Begins a stream at each daemon, and again after an interval. */
  private void beginLoad(int round) {
    for (int d = 0; d < plan.daemons(); d++) {
      play(
          new PlanEvent.Begin(
              time.nowMillis(),
              "load" + round + "-" + d,
              List.of(d, (d + 1) % plan.daemons()),
              List.of(),
              LOAD_PAUSE_MILLIS,
              true,
              true,
              false));
    }
    time.schedule(LOAD_INTERVAL_MILLIS, () -> beginLoad(round + 1));
  }

  private List<String> linesOf(String stream) {
    return lines.stream()
        .filter(l -> l.stream().isEmpty() || l.stream().equals(stream))
        .map(Line::text)
        .toList();
  }

  private void play(PlanEvent event) {
    if (event instanceof PlanEvent.Join e) {
      upstreams.start(e.upstream(), e.origin());
      time.schedule(e.listedAfterMillis(), () -> upstreams.publish(e.upstream(), false));
    } else if (event instanceof PlanEvent.Leave e) {
      if (e.announces()) {
        upstreams.publish(e.upstream(), true);
      }
      time.schedule(e.unlistedAfterMillis(), () -> upstreams.unlist(e.upstream()));
      time.schedule(e.endsAfterMillis(), () -> upstreams.end(e.upstream()));
    } else if (event instanceof PlanEvent.Crash e) {
      upstreams.end(e.upstream());
      time.schedule(e.unlistedAfterMillis(), () -> upstreams.unlist(e.upstream()));
    } else if (event instanceof PlanEvent.LateWrites e) {
      store.setLateWriteProbability(e.probability());
      time.schedule(e.millis(), () -> store.setLateWriteProbability(0));
    } else if (event instanceof PlanEvent.DisturbDatagrams e) {
      network.disturb(e.loss(), e.repeat(), e.lateMillis());
      time.schedule(e.millis(), () -> network.disturb(0, 0, 0));
    } else if (event instanceof PlanEvent.LoseHistory) {
      store.discardHistory();
    } else if (event instanceof PlanEvent.Restore e) {
      store.restore(e.ageMillis());
      time.schedule(e.entriesAfterMillis(), upstreams::restoreEntries);
      time.schedule(RESTORED_CONFIGURATION_MILLIS, () -> configure(services));
      IntStream.range(0, plan.daemons()).forEach(d -> noteTrouble(d, "store restored", 0));
    } else if (event instanceof PlanEvent.Configure e) {
      configure(e.services());
    } else if (event instanceof PlanEvent.Begin e) {
      ModelCaller caller = new ModelCaller(time, e, this);
      callers.add(caller);
      caller.request();
    } else {
      playAtDaemon(event);
    }
  }

  private void playAtDaemon(PlanEvent event) {
    if (event instanceof PlanEvent.Kill e) {
      daemons.get(e.daemon()).ifPresent(ModelDaemon::kill);
      daemons.set(e.daemon(), Optional.empty());
      startLater(e.daemon(), e.startsAfterMillis());
    } else if (event instanceof PlanEvent.Stop e) {
      daemons.get(e.daemon()).ifPresent(d -> stop(e.daemon(), d, e.startsAfterMillis()));
    } else if (event instanceof PlanEvent.StandStill e) {
      daemons.get(e.daemon()).ifPresent(d -> standStill(d, e));
    } else if (event instanceof PlanEvent.CutStore e) {
      links.get(e.daemon()).set(e.state());
      if (e.state() == StoreLink.State.RESET) {
        store.breakPolls(links.get(e.daemon()));
      }
      time.schedule(e.millis(), () -> links.get(e.daemon()).set(StoreLink.State.OPEN));
      String kind =
          switch (e.state()) {
            case CONFIGURATION_HANGING -> "late configuration";
            case UPSTREAMS_HANGING -> "late upstreams";
            case ROWS_HANGING -> "late rows";
            default -> "cut from store";
          };
      noteTrouble(e.daemon(), kind, e.millis());
    } else if (event instanceof PlanEvent.CutPeers e) {
      network.setCutOff(address(e.daemon()), true);
      time.schedule(e.millis(), () -> network.setCutOff(address(e.daemon()), false));
      noteTrouble(e.daemon(), "cut from daemons", e.millis());
    } else if (event instanceof PlanEvent.SlowStore e) {
      links.get(e.daemon()).setAddedDelayMillis(e.delayMillis());
      time.schedule(e.millis(), () -> links.get(e.daemon()).setAddedDelayMillis(0));
      noteTrouble(e.daemon(), "slow store", e.millis());
    }
  }

  private void noteTrouble(int daemon, String kind, long millis) {
    troubles.get(daemon).merge(kind, time.nowMillis() + millis, Math::max);
  }

  private void standStill(ModelDaemon daemon, PlanEvent.StandStill e) {
    daemon.process().freeze(e.clockCounts(), e.inputFirst());
    time.schedule(e.millis(), daemon.process()::resume);
    noteTrouble(e.daemon(), "stood still", e.millis());
  }

  private void stop(int index, ModelDaemon daemon, long startsAfterMillis) {
    daemon
        .process()
        .deliver(
            () ->
                daemon.stop(
                    STOP_GRACE_MILLIS,
                    () -> {
                      daemon.kill();
                      if (daemons.get(index).filter(daemon::equals).isPresent()) {
                        daemons.set(index, Optional.empty());
                        startLater(index, startsAfterMillis);
                      }
                    }));
  }

  private void startLater(int index, long afterMillis) {
    if (afterMillis >= 0) {
      time.schedule(afterMillis, () -> start(index));
    }
  }

  private static String address(int index) {
    return "10.0.0." + (index + 1) + ":7000";
  }

  private void start(int index) {
    if (daemons.get(index).isPresent()) {
      return;
    }
    String host = "h" + index;
    String incarnation = host + "." + ++incarnations;
    ModelProcess process = new ModelProcess(time, 1_000 + random.nextInt(1_000_000));
    ModelDaemon daemon =
        new ModelDaemon(
            host,
            incarnation,
            address(index),
            process,
            store.new Client(process, links.get(index)),
            network,
            upstreams,
            random.split(),
            fault,
            (event, fields) -> log(incarnation, event, fields));
    network.bind(daemon);
    daemons.set(index, Optional.of(daemon));
    if (time.nowMillis() > FIRST_START_MILLIS) {
      noteTrouble(index, "started lately", 0);
    }
    daemon.start();
  }

  private void log(String incarnation, String event, Map<String, Object> fields) {
    if (!isTraced) {
      return;
    }
    boolean isOfRequest = event.equals("stream_origin") || event.equals("request");
    String id = String.valueOf(fields.getOrDefault("id", fields.get("request")));
    String stream = isOfRequest && id.contains(".") ? id.substring(0, id.indexOf('.')) : "";
    lines.add(
        new Line(stream, "%d ms %s %s %s".formatted(time.nowMillis(), incarnation, event, fields)));
  }

  private void configure(List<String> newServices) {
    services = newServices;
    store.write(
        CONFIGURATION_KEY, Optional.of(RouteConfiguration.format(++configuration, newServices)));
  }

  @Override
  public Optional<ModelDaemon> daemon(int index) {
    return daemons.get(index);
  }

  @Override
  public Optional<String> trouble(int index, StreamOrigin origin, boolean isNamed) {
    if (!services.contains(origin.service()) || !upstreams.isContinuable(origin)) {
      return Optional.empty();
    }
    long now = time.nowMillis();
    List<String> kinds =
        troubles.get(index).entrySet().stream()
            .filter(e -> now - e.getValue() < RECENT_MILLIS)
            .map(e -> e.getValue() > now ? e.getKey() + " now" : e.getKey())
            .sorted()
            .toList();
    String kind = kinds.isEmpty() ? "in step" : String.join(", ", kinds);
    return Optional.of((isNamed ? "named; " : "not named; ") + kind);
  }

  @Override
  public void onTakenUp(String trouble, String result) {
    takeUps.add(trouble, result);
  }
}
