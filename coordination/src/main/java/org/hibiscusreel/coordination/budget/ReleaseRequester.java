package org.hibiscusreel.coordination.budget;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.wire.ReleaseRequest;

/** Requests the return of surplus tokens from the holders of a budget in all failure domains. */
final class ReleaseRequester implements AllotmentTableClient.ReleaseRequests {

  private static final long TIMEOUT_MILLIS = 500;

  /**
   * Number of holders of a budget per domain; {@link AllotmentService} tries equally many for a
   * reservation.
   */
  private static final int HOLDERS_PER_DOMAIN = 3;

  private final PeerTransport peers;
  private final MembershipView membership;
  private final ConfigurationView configuration;
  private final EventRecorder events;

  ReleaseRequester(
      PeerTransport peers,
      MembershipView membership,
      ConfigurationView configuration,
      EventRecorder events) {
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.events = Objects.requireNonNull(events, "events");
  }

  /** Returns the failure domains that may draw on a budget, this daemon's own included. */
  Set<String> failureDomains() {
    Set<String> domains = new LinkedHashSet<>();
    domains.add(membership.self().failureDomain());
    configuration
        .current()
        .ifPresent(c -> c.sites().values().forEach(s -> domains.addAll(s.failureDomains())));
    return domains;
  }

  @Override
  public CompletableFuture<Void> request(String budget, long tokens) {
    ReleaseRequest request =
        ReleaseRequest.newBuilder()
            .setStamp(events.stamp())
            .setBudget(budget)
            .setTokens(tokens)
            .build();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (String domain : failureDomains()) {
      membership.rank(domain, budget).stream()
          .limit(HOLDERS_PER_DOMAIN)
          .filter(m -> !m.incarnation().equals(membership.self().incarnation()))
          .forEach(m -> calls.add(send(m, request)));
    }
    events.recordBudget("release_requested", budget, "tokens=" + tokens);
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
  }

  private CompletableFuture<Void> send(MemberInfo member, ReleaseRequest request) {
    return peers
        .release(member.peerAddress(), request, TIMEOUT_MILLIS)
        .thenAccept(response -> response.ifPresent(r -> events.observe(r.getStamp())));
  }
}
