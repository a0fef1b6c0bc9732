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
 * Polls engines in turn for load and cache events: each about once per second in a small site, and
 * at most 10 polls per second in total, so that a large site stays within the overhead limit of a
 * daemon.
 */
final class UpstreamPoller {
  private static final long MIN_ROUND_DURATION_MILLIS = 1_000;

  /**
   * Limits the calls to 15 per second including those for cache events. A call and its response
   * take about 360 bytes, so the polls use at most half of the 11 KB/s of control traffic allowed
   * to a daemon.
   */
  private static final long MIN_POLL_INTERVAL_MILLIS = 100;

  /** Cache events are fetched in one of this many rounds of polls. */
  private static final int ROUNDS_PER_CACHE_POLL = 2;

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

  /**
   * Polls the next engine, from those of this failure domain and those with requests of this daemon
   * in flight.
   */
  private void next() {
    if (!running) {
      return;
    }
    List<UpstreamState> polled =
        upstreams.engines().stream()
            .filter(s -> s.inFlight() > 0 || s.upstream().failureDomain().equals(failureDomain))
            .toList();
    long gap =
        Math.max(MIN_POLL_INTERVAL_MILLIS, MIN_ROUND_DURATION_MILLIS / Math.max(1, polled.size()));
    timer = scheduler.schedule(gap, this::next);
    if (!polled.isEmpty()) {
      long round = polls / polled.size();
      poll(polled.get((int) (polls % polled.size())), round % ROUNDS_PER_CACHE_POLL == 0);
      polls++;
    }
  }

  private void poll(UpstreamState s, boolean withCache) {
    Upstream u = s.upstream();
    FutureCallbacks.onValue(engines.load(u), load -> onLoad(s, load));
    if (withCache) {
      long after = upstreams.prefixes().lastSequence(u.name());
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
