package org.hibiscusreel.coordination.forward;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.core.forward.UpstreamPauses;

/**
 * Applies what responses say of their upstreams, of this daemon's own requests and of those that it
 * relays. Used only on the event loop thread.
 */
public final class UpstreamNotices {

  private final Scheduler scheduler;
  private final FleetView fleet;
  private final LoadExchange loads;
  private final DecisionLog log;
  private final UpstreamPauses pauses = new UpstreamPauses();

  /**
   * Creates an object that knows of no notice.
   *
   * @param scheduler clock
   * @param fleet known upstreams
   * @param loads limits of the upstreams, and reports to the other daemons
   * @param log receives each change
   * @throws NullPointerException if an argument is null
   */
  public UpstreamNotices(
      Scheduler scheduler, FleetView fleet, LoadExchange loads, DecisionLog log) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.loads = Objects.requireNonNull(loads, "loads");
    this.log = Objects.requireNonNull(log, "log");
  }

  /**
   * Applies a notice.
   *
   * @param upstream the upstream that sent it
   * @param notice the notice
   * @param sentAtMillis monotonic time in milliseconds at which its request was sent
   */
  public void onNotice(UpstreamEntry upstream, UpstreamNotice notice, long sentAtMillis) {
    onRequestLimit(upstream, notice.limit(), sentAtMillis);
    if (notice.isLeaving()) {
      onLeaving(upstream);
    }
    if (notice.pause() instanceof PauseRequest.Pause p) {
      pauses.add(upstream.id(), p.millis(), scheduler.nowMillis());
      log.record("upstream_pause", Map.of("upstream", upstream.id(), "pause_ms", p.millis()));
    } else if (notice.pause() instanceof PauseRequest.Invalid i) {
      log.record("upstream_pause", Map.of("upstream", upstream.id(), "invalid", i.text()));
    }
  }

  /**
   * Returns for how long an upstream still wants no requests of this daemon.
   *
   * @param upstream identity of the upstream
   * @return milliseconds, 0 if it takes requests
   */
  public long pauseMillis(String upstream) {
    return pauses.remainingMillis(upstream, scheduler.nowMillis());
  }

  /** Stops offering requests to an upstream that is leaving, and tells the other daemons. */
  private void onLeaving(UpstreamEntry upstream) {
    LeavingUpstream instance = LeavingUpstream.of(upstream);
    if (fleet.upstreams().onLeaving(instance)) {
      log.record("upstream_leaving", Map.of("upstream", upstream.id(), "source", "response"));
      loads.announceLeaving(instance);
    }
  }

  private void onRequestLimit(UpstreamEntry upstream, RequestLimit limit, long sentAtMillis) {
    UpstreamLimits limits = loads.limits();
    boolean changed = limits.onResponse(upstream.id(), limit, sentAtMillis, scheduler.nowMillis());
    if (limit instanceof RequestLimit.Invalid i) {
      logLimit(upstream, "invalid: " + i.text());
    } else if (changed) {
      OptionalDouble known = limits.perSecond(upstream.id());
      logLimit(upstream, known.isPresent() ? String.valueOf(known.getAsDouble()) : "none");
    }
  }

  private void logLimit(UpstreamEntry upstream, String value) {
    log.record("upstream_limit", Map.of("upstream", upstream.id(), "per_second", value));
  }
}
