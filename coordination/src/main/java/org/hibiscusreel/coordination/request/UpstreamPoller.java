package org.hibiscusreel.coordination.request;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.CacheEvent;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EngineLoad;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.config.Upstream;

/**
 * Polls engines in turn for load and cache events: each about once a second in a small site, and at
 * most 10 polls a second in all, so that a large site stays within the overhead per daemon.
 */
final class UpstreamPoller {
  private static final long MIN_ROUND_MILLIS = 1_000;

  /**
   * Bounds the calls to 15 a second with those for cache events. A call with its response takes
   * about 360 bytes, so that reports use at most half of the 11 KB/s of a daemon.
   */
  private static final long MIN_GAP_MILLIS = 100;

  /** One poll in this many also fetches cache events. */
  private static final int CACHE_EVERY = 2;

  private final Scheduler scheduler;
  private final EngineClient engines;
  private final UpstreamDirectory upstreams;
  private final LoadReportListener listener;
  private final String failureDomain;
  private Cancellable timer = () -> {};
  private boolean running;
  private long polls;

  UpstreamPoller(RequestDependencies dependencies, UpstreamDirectory upstreams) {
    this.scheduler = dependencies.ports().scheduler();
    this.engines = dependencies.ports().engines();
    this.listener = dependencies.loadReports();
    this.failureDomain = dependencies.membership().self().failureDomain();
    this.upstreams = upstreams;
  }

  void start() {
    running = true;
    next();
  }

  void stop() {
    running = false;
    timer.cancel();
  }

  /** Polls the engines of the own failure domain, and remote ones while they are used. */
  private void next() {
    if (!running) {
      return;
    }
    List<UpstreamState> polled =
        upstreams.engines().stream()
            .filter(s -> s.inFlight() > 0 || s.upstream().failureDomain().equals(failureDomain))
            .toList();
    long gap = Math.max(MIN_GAP_MILLIS, MIN_ROUND_MILLIS / Math.max(1, polled.size()));
    timer = scheduler.schedule(gap, this::next);
    if (!polled.isEmpty()) {
      long round = polls / polled.size();
      poll(polled.get((int) (polls % polled.size())), round % CACHE_EVERY == 0);
      polls++;
    }
  }

  private void poll(UpstreamState s, boolean withCache) {
    Upstream u = s.upstream();
    FutureCallbacks.onValue(engines.load(u), load -> onLoad(s, load));
    if (withCache) {
      long after = upstreams.prefixes().lastSeq(u.name());
      FutureCallbacks.onValue(engines.cacheEvents(u, after), events -> onCache(u.name(), events));
    }
  }

  private void onLoad(UpstreamState s, Optional<EngineLoad> load) {
    if (load.isEmpty()) {
      return;
    }
    EngineLoad l = load.get();
    s.load().onReport(l.running() + l.queued(), l.capacity(), s.inFlight(), scheduler.nowMillis());
    listener.onLoadReport(s.upstream().name(), l.leaving(), l.atMillis());
  }

  private void onCache(String engine, Optional<List<CacheEvent>> events) {
    events.ifPresent(
        list ->
            list.forEach(
                e -> upstreams.prefixes().onEvent(engine, e.seq(), e.stored(), e.prefixHash())));
  }
}
