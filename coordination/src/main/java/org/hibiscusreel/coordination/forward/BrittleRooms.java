package org.hibiscusreel.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.BrittleUpstreams;
import org.hibiscusreel.core.forward.BrittleUse;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.RejectionTolerance;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;

/**
 * Keeps requests from brittle upstreams that have no room for them. Used only on the event loop
 * thread.
 */
final class BrittleRooms {

  /** Shortest retry advice in milliseconds while brittle upstreams have no room. */
  static final long MIN_RETRY_AFTER_MILLIS = 200;

  /** Longest retry advice in milliseconds while brittle upstreams have no room. */
  static final long MAX_RETRY_AFTER_MILLIS = 1_500;

  /** Time in milliseconds between the advice to two callers, so that they do not come together. */
  static final long RETRY_INTERVAL_MILLIS = 20;

  /**
   * Part of the memory of an upstream that requests may fill in the mean, since they differ in size
   * and a request that does not fit waits.
   */
  private static final double MEMORY_FRACTION = 0.85;

  /** Weight of a new request in the mean size of requests. */
  private static final double SIZE_WEIGHT = 0.05;

  private final Scheduler scheduler;
  private final FleetView fleet;
  private final LoadExchange loads;
  private final DecisionLog log;
  private final LongSupplier random;
  private final Map<String, Double> meanTokens = new HashMap<>();
  private final Map<String, Long> nextRetryMillis = new HashMap<>();

  BrittleRooms(
      Scheduler scheduler,
      FleetView fleet,
      LoadExchange loads,
      DecisionLog log,
      LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.loads = Objects.requireNonNull(loads, "loads");
    this.log = Objects.requireNonNull(log, "log");
    this.random = Objects.requireNonNull(random, "random");
  }

  private BrittleUpstreams brittle() {
    return loads.brittle();
  }

  /** Returns whether an upstream is not brittle or has room for a request of this daemon. */
  boolean hasRoom(UpstreamEntry upstream) {
    long now = scheduler.nowMillis();
    // 31 bits are enough for a number from 0 to 1.
    return brittle().tolerance(upstream, now).isEmpty()
        || brittle()
            .admits(
                upstream,
                use(upstream),
                loads.brittleShare(upstream.id()),
                (random.getAsLong() >>> 33) / (double) (1L << 31),
                now);
  }

  private BrittleUse use(UpstreamEntry upstream) {
    return new BrittleUse(
        loads.ownLoad(upstream.id()).inFlight(),
        loads.peerLoads().at(upstream.id()).requests(),
        capacity(upstream));
  }

  /** Returns how many requests of mean size the upstream can run at the same time. */
  private int capacity(UpstreamEntry upstream) {
    Double mean = meanTokens.get(upstream.service());
    long memoryTokens =
        fleet
            .table()
            .flatMap(t -> t.service(upstream.service()))
            .map(ForwardService::cacheCapacityTokens)
            .orElse(0L);
    if (mean == null || memoryTokens == 0) {
      return upstream.slots();
    }
    return (int) Math.max(1, Math.min(upstream.slots(), MEMORY_FRACTION * memoryTokens / mean));
  }

  /** Records a request that is sent, not yet counted among those in progress. */
  void onSent(UpstreamEntry upstream, Optional<PromptShape> prompt) {
    long now = scheduler.nowMillis();
    if (brittle().tolerance(upstream, now).isEmpty()) {
      return;
    }
    brittle().onSent(upstream, use(upstream), loads.brittleShare(upstream.id()), now);
    prompt.ifPresent(
        p ->
            meanTokens.merge(
                upstream.service(),
                (double) Math.max(1, p.worstCaseTokens()),
                (mean, size) -> mean + SIZE_WEIGHT * (size - mean)));
  }

  /** Processes what a response says, before its request counts as ended. */
  void onNotice(UpstreamEntry upstream, UpstreamNotice notice, long sentAtMillis) {
    long now = scheduler.nowMillis();
    if (notice.tolerance() instanceof RejectionTolerance.Invalid i) {
      logTolerance(upstream, "invalid: " + i.text());
    } else if (brittle().onResponse(upstream, notice.tolerance(), sentAtMillis, now)) {
      OptionalInt known = brittle().tolerance(upstream, now);
      logTolerance(upstream, known.isPresent() ? String.valueOf(known.getAsInt()) : "none");
      loads.scheduleReport();
    }
    if (notice.isFull() && brittle().tolerance(upstream, now).isPresent()) {
      BrittleUse use = use(upstream);
      brittle().onRejected(upstream, use, now);
      loads.scheduleReport();
      log.record(
          "upstream_full",
          Map.of(
              "upstream",
              upstream.id(),
              "in_progress",
              use.total(),
              "pause_ms",
              brittle().remainingMillis(upstream, now)));
    }
  }

  private void logTolerance(UpstreamEntry upstream, String value) {
    log.record(
        "upstream_brittle", Map.of("upstream", upstream.id(), "rejections_per_second", value));
  }

  /**
   * Returns when a caller should come back that was refused because the brittle upstreams of a
   * service have no room. Several callers get different times.
   *
   * @return delay in milliseconds, or empty if no upstream is brittle
   */
  OptionalLong retryMillis(String service) {
    long now = scheduler.nowMillis();
    OptionalLong pause =
        fleet.upstreams().usable(service, now).stream()
            .filter(e -> brittle().tolerance(e, now).isPresent())
            .mapToLong(e -> brittle().remainingMillis(e, now))
            .min();
    if (pause.isEmpty()) {
      return pause;
    }
    long earliest = now + Math.max(MIN_RETRY_AFTER_MILLIS, pause.getAsLong());
    long at = Math.max(earliest, nextRetryMillis.getOrDefault(service, 0L));
    long retryMillis = Math.min(MAX_RETRY_AFTER_MILLIS, at - now);
    nextRetryMillis.put(service, now + retryMillis + RETRY_INTERVAL_MILLIS);
    return OptionalLong.of(retryMillis);
  }
}
