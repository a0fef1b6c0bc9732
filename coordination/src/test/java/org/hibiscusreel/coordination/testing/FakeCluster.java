package org.hibiscusreel.coordination.testing;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.budget.AllotmentService;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.BillingService;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.recovery.RecoveryService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ServingDefaults;
import org.hibiscusreel.core.config.Site;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.wire.HandOverRequest;
import org.hibiscusreel.wire.ReleaseRequest;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.SettleRequest;

/** Daemons with allotments and billing that share a virtual clock, a table and unreliable links. */
public final class FakeCluster {

  private static final long LINK_MILLIS = 1;

  /** One daemon. */
  public final class Daemon {
    public final MemberInfo info;
    public final List<TimelineEvent> events = new ArrayList<>();
    public final EventRecorder recorder;
    public final ProcessScheduler clock = new ProcessScheduler(scheduler);
    public final View view;
    public final TableService ownTable;
    public final AllotmentService allotments;
    public final BillingService billing;
    public final RecoveryService recovery;

    private Daemon(MemberInfo info) {
      this.info = info;
      this.view = new View(info);
      this.recorder =
          new EventRecorder(
              new HybridClock(scheduler::wallMillis), info.incarnation(), events::add);
      this.ownTable = clock.guard(TableService.class, table);
      PeerTransport peers = clock.guard(PeerTransport.class, transport(info));
      this.allotments =
          new AllotmentService(
              clock, ownTable, peers, view, configuration, recorder, random::nextLong, 500);
      this.billing =
          new BillingService(
              clock,
              ownTable,
              allotments,
              recorder,
              random::nextLong,
              b -> CompletableFuture.completedFuture(false),
              () -> {},
              1_000);
      this.recovery =
          new RecoveryService(
              clock,
              ownTable,
              () -> CompletableFuture.completedFuture(Optional.of(listing())),
              engine.client(),
              view,
              configuration,
              allotments,
              billing,
              recorder,
              random::nextLong,
              "boot of " + info.host(),
              true);
      allotments.start();
      billing.start();
    }

    /** Stops the services in the order of a graceful stop, then ends the process. */
    public CompletableFuture<Void> stop() {
      return billing
          .stop()
          .thenCompose(done -> allotments.stop())
          .thenCompose(done -> recovery.stop())
          .thenAccept(done -> crash());
    }

    /** Ends the process without any clean-up. */
    public void crash() {
      clock.kill();
      leave();
    }

    /** Removes the daemon from the membership view of all daemons. */
    public void leave() {
      daemons.remove(info.incarnation());
    }
  }

  /** Membership view with all daemons that were not removed. */
  public final class View implements MembershipView {
    private final MemberInfo self;

    private View(MemberInfo self) {
      this.self = self;
    }

    @Override
    public MemberInfo self() {
      return self;
    }

    @Override
    public List<MemberInfo> alive() {
      return daemons.values().stream().map(d -> d.info).toList();
    }

    @Override
    public List<MemberInfo> rank(String failureDomain, String key) {
      return alive().stream().filter(m -> m.failureDomain().equals(failureDomain)).toList();
    }

    @Override
    public Set<String> leavingUpstreams() {
      return Set.of();
    }

    @Override
    public void markUpstreamLeaving(String upstream) {}

    @Override
    public void markUpstreamReturned(String upstream) {}
  }

  public final VirtualScheduler scheduler = new VirtualScheduler();
  public final FakeTable table = new FakeTable(scheduler);
  public final Random random;
  public final Map<String, Daemon> daemons = new LinkedHashMap<>();

  /** Addresses of daemons whose incoming calls are lost. */
  public final Set<String> unreachable = new HashSet<>();

  /** Hosts that the platform lists as terminated. */
  public final Set<String> terminated = new HashSet<>();

  public final FakeEngine engine = new FakeEngine();

  /** Returns for each message whether it is lost. */
  public BooleanSupplier isLost = () -> false;

  public final ConfigurationView configuration = new FixedConfiguration();

  /** Creates a cluster without daemons; the seed determines all random values. */
  public FakeCluster(long seed) {
    this.random = new Random(seed);
  }

  /** Adds a daemon without recovery; the name is used as its incarnation, host and address. */
  public Daemon add(String name, String failureDomain) {
    Daemon d = create(name, name, failureDomain);
    d.allotments.markRegistered();
    return d;
  }

  /** Adds a daemon that registers itself and participates in recovery. */
  public Daemon start(String incarnation, String host, String failureDomain) {
    Daemon d = create(incarnation, host, failureDomain);
    d.recovery.start();
    return d;
  }

  private Daemon create(String incarnation, String host, String failureDomain) {
    MemberInfo info =
        new MemberInfo(incarnation, host, failureDomain, "site", incarnation, incarnation);
    Daemon d = new Daemon(info);
    daemons.put(incarnation, d);
    return d;
  }

  private HostList.Listing listing() {
    List<HostList.Host> hosts =
        terminated.stream()
            .map(h -> new HostList.Host(h, "", "", HostList.State.TERMINATED))
            .toList();
    return new HostList.Listing(hosts, List.of());
  }

  /** Runs until a future has completed, for at most one minute of virtual time. */
  public <T> T await(CompletableFuture<T> future) {
    for (int i = 0; i < 6_000 && !future.isDone(); i++) {
      scheduler.run(10);
    }
    if (!future.isDone()) {
      throw new AssertionError("the future did not complete within a minute of virtual time");
    }
    return future.join();
  }

  private PeerTransport transport(MemberInfo self) {
    return (PeerTransport)
        Proxy.newProxyInstance(
            PeerTransport.class.getClassLoader(),
            new Class<?>[] {PeerTransport.class},
            (proxy, method, args) -> call(self, (String) args[0], args[1], (Long) args[2]));
  }

  private CompletableFuture<Optional<Object>> call(
      MemberInfo from, String address, Object request, long timeoutMillis) {
    CompletableFuture<Optional<Object>> response = new CompletableFuture<>();
    scheduler.schedule(timeoutMillis, () -> response.complete(Optional.empty()));
    deliver(
        () -> {
          Daemon target = daemons.get(address);
          if (target == null || unreachable.contains(address)) {
            return;
          }
          Consumer<Object> answer =
              r -> deliver(() -> response.complete(Optional.of(r)), from.incarnation());
          var unused = handle(target.allotments, request).thenAccept(answer);
        },
        address);
    return response;
  }

  private void deliver(Runnable action, String address) {
    if (!isLost.getAsBoolean() && !unreachable.contains(address)) {
      scheduler.schedule(LINK_MILLIS, action);
    }
  }

  private static CompletableFuture<?> handle(AllotmentService service, Object request) {
    if (request instanceof ReserveRequest r) {
      return service.handleReserve(r);
    } else if (request instanceof SettleRequest r) {
      return service.handleSettle(r);
    } else if (request instanceof ReleaseRequest r) {
      return service.handleRelease(r);
    }
    return service.handleHandOver((HandOverRequest) request);
  }

  /** Configuration with two failure domains and one engine. */
  private static final class FixedConfiguration implements ConfigurationView {
    @Override
    public Optional<Configuration> current() {
      Upstream engine =
          new Upstream("engine", UpstreamKind.ENGINE, "", "a", "site", List.of(), 8, false, false);
      return Optional.of(
          new Configuration(
              1,
              new ServingDefaults(30_000, 1.0, 0, 512),
              Map.of("site", new Site("site", List.of("a", "b"))),
              Map.of(),
              Map.of("engine", engine),
              Map.of(),
              Map.of(),
              Map.of()));
    }

    @Override
    public void addListener(Consumer<Configuration> listener) {
      current().ifPresent(listener);
    }
  }
}
