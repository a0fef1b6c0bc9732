package org.hibiscusreel.coordination.budget;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.HandOverEntry;
import org.hibiscusreel.wire.HandOverRequest;

/** Offers the ledgers of a stopping daemon to a successor in its failure domain. */
final class HandOverSender {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int ATTEMPTS = 10;

  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder events;

  HandOverSender(PeerTransport peers, MembershipView membership, EventRecorder events) {
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.events = Objects.requireNonNull(events, "events");
  }

  /** Offers all ledgers; completes when each has been accepted or its hand-over has failed. */
  CompletableFuture<Void> offerAll(Map<String, List<HandOverEntry>> ledgers) {
    String self = membership.self().incarnation();
    List<MemberInfo> successors =
        membership.rank(membership.self().failureDomain(), self).stream()
            .filter(m -> !m.incarnation().equals(self))
            .toList();
    return CompletableFuture.allOf(
        ledgers.entrySet().stream()
            .map(e -> offer(toRequest(e.getKey(), e.getValue()), successors, 0, ATTEMPTS))
            .toArray(CompletableFuture[]::new));
  }

  private HandOverRequest toRequest(String holder, List<HandOverEntry> entries) {
    return HandOverRequest.newBuilder()
        .setStamp(events.stamp())
        .setHolder(holder)
        .addAllEntries(entries.stream().map(PeerMessages::toWire).toList())
        .build();
  }

  /**
   * Offers a ledger to one successor. A successor that does not respond may have accepted it, so
   * the ledger is offered to the next one only after a refusal.
   */
  private CompletableFuture<Void> offer(
      HandOverRequest request, List<MemberInfo> successors, int index, int attempts) {
    if (index >= successors.size() || attempts == 0) {
      events.record("hand_over_failed", "holder=" + request.getHolder());
      return CompletableFuture.completedFuture(null);
    }
    MemberInfo successor = successors.get(index);
    return peers
        .handOver(successor.peerAddress(), request, TIMEOUT_MILLIS)
        .thenCompose(
            response -> {
              if (response.isEmpty()) {
                return offer(request, successors, index, attempts - 1);
              }
              if (!response.get().getAccepted()) {
                return offer(request, successors, index + 1, attempts);
              }
              String detail = "holder=" + request.getHolder() + " to=" + successor.incarnation();
              events.record("ledger_handed_over", detail);
              return CompletableFuture.completedFuture(null);
            });
  }
}
