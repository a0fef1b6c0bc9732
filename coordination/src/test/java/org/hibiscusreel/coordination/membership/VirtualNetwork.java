package org.hibiscusreel.coordination.membership;

import com.google.protobuf.MessageLite;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.wire.ProbeIndirectRequest;
import org.hibiscusreel.wire.ProbeRequest;

/**
 * Simulated network of membership services on one virtual clock, with message loss, cut links,
 * pauses and crashes.
 */
final class VirtualNetwork {
  private static final long DELAY_MILLIS = 1;

  /** Simulated daemon with its scheduler. */
  final class Daemon implements Scheduler {
    final MembershipService service;
    final MemberInfo info;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean isPaused;
    private boolean isDead;

    Daemon(MemberInfo info, List<String> seeds) {
      this.info = info;
      NodeDependencies ports =
          new NodeDependencies(
              this, null, null, hosts, transport(this), null, null, e -> {}, random::nextLong);
      this.service =
          new MembershipService(
              new NodeSettings(info, "", seeds, 1, 1),
              ports,
              new EventRecorder(new HybridClock(this::wallMillis), info.incarnation(), e -> {}));
    }

    /** Runs a task immediately, or on resumption if paused. Discards it if the daemon is dead. */
    void run(Runnable task) {
      if (isPaused) {
        deferred.add(task);
      } else if (!isDead) {
        task.run();
      }
    }

    void pause(long millis) {
      isPaused = true;
      clock.schedule(millis, this::resume);
    }

    private void resume() {
      isPaused = false;
      List<Runnable> tasks = List.copyOf(deferred);
      deferred.clear();
      tasks.forEach(this::run);
    }

    void kill() {
      isDead = true;
    }

    boolean listsAsAlive(Daemon other) {
      return service.alive().contains(other.info);
    }

    @Override
    public long nowMillis() {
      return clock.nowMillis();
    }

    @Override
    public long wallMillis() {
      return clock.wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
      return clock.schedule(delayMillis, () -> run(task));
    }
  }

  final VirtualScheduler clock = new VirtualScheduler();
  final Random random;
  final Map<String, Daemon> daemons = new LinkedHashMap<>();
  HostList hosts = () -> CompletableFuture.completedFuture(Optional.empty());
  BiPredicate<MemberInfo, MemberInfo> isCut = (from, to) -> false;
  double lossProbability;
  long messages;
  long bytes;
  int largestMessageBytes;

  VirtualNetwork(long seed) {
    random = new Random(seed);
  }

  Daemon add(String name, String domain, String... seeds) {
    MemberInfo info = new MemberInfo(name + ".1", name, domain, "s", name, "");
    Daemon d = new Daemon(info, List.of(seeds));
    daemons.put(name, d);
    d.service.start();
    return d;
  }

  /** Returns the pairs of running daemons of which the first does not list the second as alive. */
  List<String> missingMembers() {
    List<String> result = new ArrayList<>();
    for (Daemon a : daemons.values()) {
      for (Daemon b : daemons.values()) {
        if (!a.isDead && !b.isDead && !a.listsAsAlive(b)) {
          result.add(a.info.host() + " misses " + b.info.host());
        }
      }
    }
    return result;
  }

  private PeerTransport transport(Daemon from) {
    return (PeerTransport)
        Proxy.newProxyInstance(
            PeerTransport.class.getClassLoader(),
            new Class<?>[] {PeerTransport.class},
            (p, m, args) -> call(from, (String) args[0], args[1], (Long) args[2]));
  }

  private CompletableFuture<Optional<Object>> call(
      Daemon from, String address, Object request, long timeoutMillis) {
    CompletableFuture<Optional<Object>> response = new CompletableFuture<>();
    from.schedule(timeoutMillis, () -> response.complete(Optional.empty()));
    Daemon to = daemons.get(address);
    if (to != null) {
      send(
          from,
          to,
          request,
          () ->
              FutureCallbacks.onValue(
                  handle(to.service, request),
                  r -> send(to, from, r, () -> response.complete(Optional.of(r)))));
    }
    return response;
  }

  private void send(Daemon from, Daemon to, Object message, Runnable action) {
    messages++;
    int size = ((MessageLite) message).getSerializedSize();
    bytes += size;
    largestMessageBytes = Math.max(largestMessageBytes, size);
    if (random.nextDouble() >= lossProbability && !isCut.test(from.info, to.info)) {
      clock.schedule(DELAY_MILLIS, () -> to.run(action));
    }
  }

  private static CompletableFuture<? extends MessageLite> handle(
      MembershipService service, Object request) {
    return request instanceof ProbeRequest probe
        ? service.probe(probe)
        : service.probeIndirect((ProbeIndirectRequest) request);
  }
}
