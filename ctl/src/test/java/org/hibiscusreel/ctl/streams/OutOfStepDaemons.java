package org.hibiscusreel.ctl.streams;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.forward.CallerExchange;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.CrashTransport;
import org.hibiscusreel.coordination.forward.FleetView;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.HolderCopies;
import org.hibiscusreel.coordination.forward.HolderTransport;
import org.hibiscusreel.coordination.forward.LoadExchange;
import org.hibiscusreel.coordination.forward.LoadTransport;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.coordination.forward.StreamOrigins;
import org.hibiscusreel.coordination.forward.StreamTransport;
import org.hibiscusreel.coordination.forward.UpstreamCrashes;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.WeightedService;
import org.hibiscusreel.daemon.forward.JsonDecisionLog;

/**
 * Logs of two daemons with a planned fault: a stream begins at version v2 through the first one and
 * breaks off, and its caller takes it up at the second one, whose view of the upstreams has only v1
 * although it counts as followed without a gap, and which does not know of the first one.
 */
public final class OutOfStepDaemons {

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/a/",
          RetryPolicy.RESUMABLE,
          true,
          2_000,
          200,
          100,
          1,
          List.of(new WeightedService("chat", 1)),
          1,
          false);
  private static final ForwardingTable TABLE =
      new ForwardingTable(
          7,
          new CallerLimits(1, 1, 1),
          List.of(ROUTE),
          List.of(new ForwardService("chat", 10, 4, 0, 5)),
          List.of(),
          Map.of());

  private static final long MAX_TASKS = 10_000;
  private static final Map<Class<?>, Object> NONE =
      Map.of(
          long.class,
          0L,
          int.class,
          0,
          boolean.class,
          false,
          CompletableFuture.class,
          new CompletableFuture<>());

  /** Answers a call to a stand-in. */
  private interface Call {
    Object on(Object... arguments);
  }

  private final TreeMap<Long, Runnable> tasks = new TreeMap<>();
  private long nowMillis = 1_000;
  private int count;
  private final Scheduler scheduler =
      stub(
          Scheduler.class,
          Map.of(
              "nowMillis", (Call) a -> nowMillis,
              "schedule", (Call) a -> schedule((long) a[0], (Runnable) a[1])));

  private OutOfStepDaemons() {}

  /** Runs both daemons and returns the files with their lines. */
  public static List<Path> record(Path directory) throws IOException {
    Path a = directory.resolve("front-a.log");
    Path b = directory.resolve("front-b.log");
    new OutOfStepDaemons().serve(a, "front-a.1", "v2", "id1", Optional.empty());
    new OutOfStepDaemons().serve(b, "front-b.1", "v1", "id2", Optional.of("id1"));
    return List.of(a, b);
  }

  private void serve(Path file, String daemon, String version, String id, Optional<String> resumes)
      throws IOException {
    try (PrintStream out =
        new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8)) {
      JsonDecisionLog log = new JsonDecisionLog(out, daemon, () -> resumes.isEmpty() ? 5 : 905);
      log.start();
      CallerRequest request =
          new CallerRequest(
              id,
              "POST",
              "h",
              "/a/x",
              "/a/x",
              Optional.empty(),
              Optional.of(1_500L),
              Optional.empty(),
              List.of(),
              new byte[0],
              resumes.map(r -> new CallerRequest.Resumption(Optional.of(r))),
              Optional.empty());
      CallerExchange caller = stub(CallerExchange.class, Map.of("write", true));
      forwarder(log, version).serve(request, caller);
      run();
      log.stop();
    }
  }

  private Forwarder forwarder(JsonDecisionLog log, String version) {
    UpstreamCatalog upstreams = new UpstreamCatalog();
    upstreams.put(
        new UpstreamEntry("i-" + version, "chat", "127.0.0.1:1", "d", false, 4, version, 0));
    RouteHistory routes = new RouteHistory();
    routes.onConfiguration(TABLE, nowMillis);
    FleetView fleet =
        stub(
            FleetView.class,
            Map.of(
                "table",
                Optional.of(TABLE),
                "upstreams",
                upstreams,
                "routes",
                routes,
                "configurationFollowedMillis",
                61_000L,
                "catchUpWithConfiguration",
                CompletableFuture.completedFuture(true),
                "upstreamDataAgeMillis",
                3L,
                "upstreamsFollowedMillis",
                31_000L,
                "catchUpWithUpstreams",
                CompletableFuture.completedFuture(true),
                "daemonCount",
                2));
    TableService table = stub(TableService.class, Map.of());
    StoreClock clock = stub(StoreClock.class, Map.of());
    return new Forwarder(
        scheduler,
        fleet,
        stub(UpstreamTransport.class, Map.of("hasPath", true, "send", (Call) a -> send(a))),
        new PrepaidBudgets(
            table,
            scheduler,
            clock,
            new PrepaidBudgets.Identity("d", "d.1"),
            800,
            () -> 2,
            new HolderCopies(scheduler, stub(HolderTransport.class, Map.of()), ""),
            log),
        new LoadExchange(
            scheduler,
            stub(LoadTransport.class, Map.of()),
            new LoadExchange.Identity("d.1", "d"),
            () -> 2,
            () -> 0,
            Set::of,
            v -> {}),
        new UpstreamCrashes(scheduler, stub(CrashTransport.class, Map.of()), "d", log),
        new StreamOrigins(
            table,
            scheduler,
            clock,
            fleet,
            "d",
            800,
            () -> 1,
            stub(StreamTransport.class, Map.of()),
            log),
        new ForwardSettings("d", 0.2, 50, 3_000),
        log,
        () -> 0);
  }

  /** Answers with one event of a stream, which the upstream of v2 then breaks off. */
  private UpstreamTransport.Exchange send(Object... arguments) {
    UpstreamEntry upstream = (UpstreamEntry) arguments[0];
    UpstreamTransport.Listener listener = (UpstreamTransport.Listener) arguments[2];
    schedule(
        40,
        () -> {
          listener.onConnected();
          listener.onHead(200, List.of(new HeaderField("Content-Type", "text/event-stream")));
          listener.onBytes("id: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
          if (upstream.softwareVersion().equals("v2")) {
            listener.onFailure(AttemptOutcome.BROKEN, "reset");
          } else {
            listener.onEnd();
          }
        });
    return stub(UpstreamTransport.Exchange.class, Map.of("relay", Optional.empty()));
  }

  /** Returns a stand-in; calls without an answer of their own return 0, false or no answer. */
  private static <T> T stub(Class<T> type, Map<String, Object> answers) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              Object answer =
                  answers.getOrDefault(method.getName(), NONE.get(method.getReturnType()));
              return answer instanceof Call call ? call.on(arguments) : answer;
            }));
  }

  private Cancellable schedule(long delayMillis, Runnable action) {
    // Tasks of the same time run in the order in which they were scheduled.
    long key = (nowMillis + delayMillis) * MAX_TASKS + count++;
    tasks.put(key, action);
    return () -> tasks.remove(key);
  }

  private void run() {
    long end = nowMillis + 3_000;
    while (!tasks.isEmpty() && tasks.firstKey() / MAX_TASKS <= end) {
      nowMillis = tasks.firstKey() / MAX_TASKS;
      tasks.pollFirstEntry().getValue().run();
    }
  }
}
