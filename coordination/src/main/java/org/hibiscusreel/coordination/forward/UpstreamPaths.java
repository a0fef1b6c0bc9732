package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.RelayPeers;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamReachability;

/**
 * Knows whether this host reaches the upstreams itself, and otherwise which daemon relays its
 * requests. Connections without a request find out whether the host is isolated, and when the path
 * is back. Used only on the event loop thread.
 */
public final class UpstreamPaths {

  /** Interval in milliseconds at which an isolated host tries to connect to an upstream. */
  static final long PROBE_INTERVAL_MILLIS = 500;

  /** Largest number of upstreams to which an isolated host tries to connect at a time. */
  static final int MAX_PROBES = 8;

  /** Opens connections to find out whether an upstream is reached. */
  @FunctionalInterface
  public interface Probe {

    /**
     * Opens a connection and closes it at once.
     *
     * @param address IP address and port
     * @return whether the connection was opened
     */
    CompletableFuture<Boolean> connect(String address);
  }

  private final Scheduler scheduler;
  private final Supplier<Collection<UpstreamEntry>> upstreams;
  private final Probe probe;
  private final Runnable onIsolated;
  private final LongSupplier random;
  private final DecisionLog log;
  private final UpstreamReachability reachability = new UpstreamReachability();
  private final RelayPeers peers;
  private Cancellable nextProbe = () -> {};
  private long firstProbe;
  private long lastRound;
  private long isolatedSinceMillis;
  private long failedProbes;
  private boolean stopped;

  /**
   * Creates an object that takes the upstreams for reachable.
   *
   * @param scheduler clock and delayed tasks
   * @param upstreams supplies the known upstreams
   * @param probe opens connections
   * @param onIsolated called when the host is found to be isolated
   * @param random source of random bits
   * @param log receives a line when an isolation begins or ends
   * @throws NullPointerException if an argument is null
   */
  public UpstreamPaths(
      Scheduler scheduler,
      Supplier<Collection<UpstreamEntry>> upstreams,
      Probe probe,
      Runnable onIsolated,
      LongSupplier random,
      DecisionLog log) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.upstreams = Objects.requireNonNull(upstreams, "upstreams");
    this.probe = Objects.requireNonNull(probe, "probe");
    this.onIsolated = Objects.requireNonNull(onIsolated, "onIsolated");
    this.random = Objects.requireNonNull(random, "random");
    this.log = Objects.requireNonNull(log, "log");
    this.peers = new RelayPeers(random);
  }

  /** Stops probing. */
  public void stop() {
    stopped = true;
    nextProbe.cancel();
  }

  /**
   * Sets the other daemons.
   *
   * @param addresses addresses at which they relay
   */
  public void onPeers(List<String> addresses) {
    peers.onPeers(addresses);
  }

  /** Records that this host opened a connection to an upstream. */
  public void onConnected() {
    lastRound++;
    if (reachability.onConnected()) {
      nextProbe.cancel();
      peers.reset();
      log.record(
          "isolation_ended",
          Map.of(
              "isolated_ms",
              scheduler.nowMillis() - isolatedSinceMillis,
              "failed_probes",
              failedProbes));
    }
  }

  /**
   * Records that this host could not open a connection to an upstream.
   *
   * @param upstream identity of the upstream
   */
  public void onConnectFailed(String upstream) {
    if (reachability.onConnectFailed(upstream, upstreams.get().size(), scheduler.nowMillis())) {
      failedProbes = 0;
      firstProbe = random.getAsLong();
      probe();
    }
  }

  /** Tries to connect to some upstreams at a time, first to those that have not failed lately. */
  private void probe() {
    nextProbe.cancel();
    List<UpstreamEntry> all = List.copyOf(upstreams.get());
    if (stopped) {
      return;
    }
    if (all.isEmpty()) {
      scheduleProbe();
      return;
    }
    List<UpstreamEntry> order = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      order.add(all.get((int) Math.floorMod(firstProbe + i, (long) all.size())));
    }
    if (!reachability.isIsolated()) {
      order.sort(Comparator.comparing(e -> reachability.hasFailed(e.id())));
    }
    firstProbe += MAX_PROBES;
    List<UpstreamEntry> next = order.stream().limit(MAX_PROBES).toList();
    long round = ++lastRound;
    AtomicInteger missing = new AtomicInteger(next.size());
    for (UpstreamEntry e : next) {
      var unused =
          probe
              .connect(e.address())
              .thenAccept(isConnected -> onProbed(isConnected, round, missing));
    }
  }

  private void onProbed(boolean isConnected, long round, AtomicInteger missing) {
    if (isConnected) {
      onConnected();
      return;
    }
    failedProbes++;
    if (missing.decrementAndGet() > 0 || round != lastRound) {
      return;
    }
    if (reachability.confirm()) {
      begin();
    }
    scheduleProbe();
  }

  private void scheduleProbe() {
    if (!stopped) {
      nextProbe = scheduler.schedule(PROBE_INTERVAL_MILLIS, this::probe);
    }
  }

  private void begin() {
    isolatedSinceMillis = scheduler.nowMillis();
    log.record(
        "isolated",
        Map.of(
            "failed_upstreams",
            reachability.failedCount(),
            "known_upstreams",
            upstreams.get().size(),
            "failed_probes",
            failedProbes));
    peers.reset();
    onIsolated.run();
  }

  /**
   * Tells whether this host is cut off from all upstreams.
   *
   * @return true from when connections to several upstreams failed until one is opened
   */
  public boolean isIsolated() {
    return reachability.isIsolated();
  }

  /**
   * Tells whether a request can be sent to an upstream or to a daemon that relays it.
   *
   * @return true if one of them may be tried
   */
  public boolean hasPath() {
    return !isIsolated() || peers.hasUsable(scheduler.nowMillis());
  }

  /**
   * Tells whether this host can't serve requests, because it is isolated and no daemon relays.
   *
   * @return true until a request was relayed or the isolation ends
   */
  public boolean isStranded() {
    return isIsolated() && peers.isNoneWorking();
  }

  /**
   * Chooses a daemon that relays a request.
   *
   * @param tried daemons that are not chosen again
   * @return its address, or empty if this host is not isolated or no daemon is left
   */
  public Optional<String> relay(Set<String> tried) {
    return isIsolated() ? peers.choose(tried, scheduler.nowMillis()) : Optional.empty();
  }

  /**
   * Records that a daemon has relayed a request.
   *
   * @param relay its address
   */
  public void onRelayed(String relay) {
    peers.onRelayed(relay);
  }

  /**
   * Records that a daemon could not relay a request, whatever the upstream.
   *
   * @param relay its address
   * @param reason what was seen
   */
  public void onRelayUnusable(String relay, String reason) {
    peers.onUnusable(relay, scheduler.nowMillis());
    log.record("relay_unusable", Map.of("relay", relay, "reason", reason));
  }
}
