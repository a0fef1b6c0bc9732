package org.hibiscusreel.daemon.forward;

import java.util.Optional;
import org.hibiscusreel.coordination.forward.FleetView;
import org.hibiscusreel.coordination.forward.UpstreamNotices;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** Decides whether a request of another daemon is passed to an upstream. */
final class RelayAdmission {

  /** Result of a decision. */
  sealed interface Decision {

    /** The request may be passed to the upstream. */
    record Admitted(UpstreamEntry upstream) implements Decision {}

    /** The request is not passed on. */
    record Refused(RelayRefusal reason) implements Decision {}
  }

  private final Scheduler scheduler;
  private final FleetView fleet;
  private final UpstreamNotices notices;
  private final UpstreamPaths paths;

  RelayAdmission(
      Scheduler scheduler, FleetView fleet, UpstreamNotices notices, UpstreamPaths paths) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.notices = notices;
    this.paths = paths;
  }

  Decision decide(RelayTicket ticket) {
    if (paths.isIsolated()) {
      return new Decision.Refused(RelayRefusal.ISOLATED);
    }
    Optional<UpstreamEntry> upstream =
        fleet
            .upstreams()
            .find(ticket.upstream())
            .filter(e -> e.startedAtMillis() == ticket.startedAtMillis())
            .filter(e -> fleet.upstreams().usable(e.service(), scheduler.nowMillis()).contains(e));
    if (upstream.isEmpty()) {
      return new Decision.Refused(RelayRefusal.UNKNOWN);
    }
    return notices.pauseMillis(ticket.upstream()) > 0
        ? new Decision.Refused(RelayRefusal.PAUSED)
        : new Decision.Admitted(upstream.get());
  }
}
