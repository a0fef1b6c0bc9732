package org.hibiscusreel.coordination.ledger;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeepBillsResponse;
import org.hibiscusreel.wire.KeptBill;

/**
 * Sends copies of bills to one peer of the own failure domain and one of each other failure domain
 * that is reachable, so that the loss of several failure domains does not lose the bill.
 */
public final class PeerBillBackup implements BillBackup {

  private static final long TIMEOUT_MILLIS = 500;

  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder events;

  /**
   * Creates a backup at peers.
   *
   * @param peers calls to other daemons
   * @param membership the other daemons
   * @param events stamps messages and records the event timeline
   */
  public PeerBillBackup(PeerTransport peers, MembershipView membership, EventRecorder events) {
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.events = Objects.requireNonNull(events, "events");
  }

  @Override
  public CompletableFuture<Boolean> copy(Bill bill) {
    CompletableFuture<Boolean> kept = new CompletableFuture<>();
    List<MemberInfo> targets = targets(bill);
    if (targets.isEmpty()) {
      kept.complete(false);
      return kept;
    }
    KeepBillsRequest request =
        KeepBillsRequest.newBuilder().setStamp(events.stamp()).addBills(toMessage(bill)).build();
    int[] missing = {targets.size()};
    for (MemberInfo m : targets) {
      FutureCallbacks.onValue(
          peers.keepBills(m.peerAddress(), request, TIMEOUT_MILLIS),
          response -> onResponse(kept, missing, response));
    }
    return kept;
  }

  private static void onResponse(
      CompletableFuture<Boolean> kept, int[] missing, Optional<KeepBillsResponse> response) {
    missing[0]--;
    if (response.isPresent() && response.get().getKept()) {
      kept.complete(true);
    } else if (missing[0] == 0) {
      kept.complete(false);
    }
  }

  private List<MemberInfo> targets(Bill bill) {
    String self = membership.self().incarnation();
    Stream<String> failureDomains =
        membership.alive().stream().map(MemberInfo::failureDomain).distinct().sorted();
    return failureDomains
        .flatMap(
            d ->
                membership.rank(d, bill.reservationId()).stream()
                    .filter(m -> !m.incarnation().equals(self))
                    .limit(1))
        .toList();
  }

  private static KeptBill toMessage(Bill bill) {
    return KeptBill.newBuilder()
        .setAccount(bill.account())
        .setRequestId(bill.requestId())
        .setBudget(bill.budget())
        .setServer(bill.server())
        .setTarget(bill.target())
        .setTokens(bill.tokens())
        .setWorth(bill.worth())
        .setSite(bill.site())
        .setFingerprint(bill.fingerprint())
        .setArrivedAtMillis(bill.arrivedAtMillis())
        .setFinishedAtMillis(bill.finishedAtMillis())
        .setLateMillis(bill.lateMillis())
        .build();
  }
}
