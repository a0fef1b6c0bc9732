package org.hibiscusreel.daemon.forward;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.hibiscusreel.core.forward.UpstreamCatalog;
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

  private final LongSupplier nowMillis;
  private final UpstreamCatalog upstreams;
  private final ToLongFunction<String> pauseMillis;
  private final BooleanSupplier isIsolated;

  /**
   * Creates an object that decides.
   *
   * @param nowMillis supplies the monotonic time in milliseconds
   * @param upstreams known upstreams
   * @param pauseMillis time in milliseconds for which an upstream wants no requests of this daemon
   * @param isIsolated tells whether this host reaches no upstream itself
   */
  RelayAdmission(
      LongSupplier nowMillis,
      UpstreamCatalog upstreams,
      ToLongFunction<String> pauseMillis,
      BooleanSupplier isIsolated) {
    this.nowMillis = nowMillis;
    this.upstreams = upstreams;
    this.pauseMillis = pauseMillis;
    this.isIsolated = isIsolated;
  }

  Decision decide(RelayTicket ticket) {
    if (isIsolated.getAsBoolean()) {
      return new Decision.Refused(RelayRefusal.ISOLATED);
    }
    long now = nowMillis.getAsLong();
    Optional<UpstreamEntry> upstream =
        upstreams
            .find(ticket.upstream())
            .filter(e -> e.startedAtMillis() == ticket.startedAtMillis())
            .filter(e -> upstreams.usable(e.service(), now).contains(e));
    if (upstream.isEmpty()) {
      return new Decision.Refused(RelayRefusal.UNKNOWN);
    }
    return pauseMillis.applyAsLong(ticket.upstream()) > 0
        ? new Decision.Refused(RelayRefusal.PAUSED)
        : new Decision.Admitted(upstream.get());
  }
}
