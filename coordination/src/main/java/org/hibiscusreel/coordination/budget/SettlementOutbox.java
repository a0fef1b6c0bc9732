package org.hibiscusreel.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.wire.SettleEntry;
import org.hibiscusreel.wire.SettleRequest;
import org.hibiscusreel.wire.SettleResponse;

/**
 * Sends settlements to other holders in batches and resends each one until it is acknowledged. A
 * holder that is no longer a member may have handed over its ledger to any daemon of the domain, so
 * its settlements are sent to all of them. They are discarded only when the holder is known to have
 * ended and all daemons of the domain have acknowledged them.
 */
final class SettlementOutbox {

  private static final long BATCH_DELAY_MILLIS = 50;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long MAX_RETRY_MILLIS = 5_000;
  private static final int MAX_ENTRIES = 500;

  private static final class HolderQueue {
    private final Map<String, SettleEntry> entries = new LinkedHashMap<>();
    private boolean isSending;
    private int failures;
  }

  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder events;
  private final Backoff backoff;

  /**
   * Checked on each send, since a ledger may be handed over to this daemon while settlements for it
   * are queued.
   */
  private final Predicate<String> isHeldLocally;

  private final Consumer<SettleEntry> settleLocally;
  private final Map<String, HolderQueue> queuesByHolder = new HashMap<>();
  private final Map<String, String> successorAddresses = new HashMap<>();
  private final Set<String> endedHolders = new HashSet<>();

  SettlementOutbox(
      Scheduler scheduler,
      PeerTransport peers,
      MembershipView membership,
      EventRecorder events,
      LongSupplier random,
      Predicate<String> isHeldLocally,
      Consumer<SettleEntry> settleLocally) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.events = Objects.requireNonNull(events, "events");
    this.isHeldLocally = Objects.requireNonNull(isHeldLocally, "isHeldLocally");
    this.settleLocally = Objects.requireNonNull(settleLocally, "settleLocally");
    this.backoff = new Backoff(2 * BATCH_DELAY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Sets the address of the daemon that has adopted the ledger of a holder. */
  void setSuccessorAddress(String holder, String address) {
    successorAddresses.put(holder, address);
  }

  /** Updates the set of ended holders: those that the platform does not list as live. */
  void updateLive(Set<String> live) {
    endedHolders.clear();
    queuesByHolder.keySet().stream().filter(h -> !live.contains(h)).forEach(endedHolders::add);
  }

  void add(SettleEntry entry) {
    HolderQueue queue = queuesByHolder.computeIfAbsent(entry.getHolder(), h -> new HolderQueue());
    SettleEntry earlier = queue.entries.get(entry.getReservationId());
    if (earlier == null || !earlier.getFinal()) {
      queue.entries.put(entry.getReservationId(), entry);
    }
    scheduleSend(entry.getHolder(), queue, BATCH_DELAY_MILLIS);
  }

  boolean isEmpty() {
    return queuesByHolder.isEmpty();
  }

  private void scheduleSend(String holder, HolderQueue queue, long delayMillis) {
    if (!queue.isSending) {
      queue.isSending = true;
      scheduler.schedule(delayMillis, () -> send(holder, queue));
    }
  }

  private void send(String holder, HolderQueue queue) {
    List<SettleEntry> batch = queue.entries.values().stream().limit(MAX_ENTRIES).toList();
    if (isHeldLocally.test(holder)) {
      batch.forEach(settleLocally);
      complete(holder, queue, batch, true);
      return;
    }
    Optional<String> address = addressOf(holder);
    CompletableFuture<Boolean> sent =
        address.isPresent() ? sendTo(address.get(), batch) : sendToDomain(holder, batch);
    FutureCallbacks.onValue(sent, acknowledged -> complete(holder, queue, batch, acknowledged));
  }

  private Optional<String> addressOf(String holder) {
    Optional<String> member =
        membership.alive().stream()
            .filter(m -> m.incarnation().equals(holder))
            .map(MemberInfo::peerAddress)
            .findFirst();
    return member.isPresent() ? member : Optional.ofNullable(successorAddresses.get(holder));
  }

  private CompletableFuture<Boolean> sendTo(String address, List<SettleEntry> batch) {
    SettleRequest request =
        SettleRequest.newBuilder().setStamp(events.stamp()).addAllEntries(batch).build();
    return peers.settle(address, request, TIMEOUT_MILLIS).thenApply(this::isAcknowledged);
  }

  private boolean isAcknowledged(Optional<SettleResponse> response) {
    response.ifPresent(r -> events.observe(r.getStamp()));
    return response.isPresent();
  }

  private CompletableFuture<Boolean> sendToDomain(String holder, List<SettleEntry> batch) {
    List<CompletableFuture<Boolean>> calls = new ArrayList<>();
    for (MemberInfo m : membership.alive()) {
      boolean isOther = !m.incarnation().equals(membership.self().incarnation());
      if (isOther && m.failureDomain().equals(membership.self().failureDomain())) {
        calls.add(sendTo(m.peerAddress(), batch));
      }
    }
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                endedHolders.contains(holder) && calls.stream().allMatch(CompletableFuture::join));
  }

  private void complete(String holder, HolderQueue queue, List<SettleEntry> batch, boolean ok) {
    queue.isSending = false;
    if (ok) {
      queue.failures = 0;
      batch.forEach(e -> queue.entries.remove(e.getReservationId(), e));
    } else {
      queue.failures++;
      successorAddresses.remove(holder);
    }
    if (queue.entries.isEmpty()) {
      queuesByHolder.remove(holder, queue);
    } else {
      scheduleSend(holder, queue, ok ? BATCH_DELAY_MILLIS : backoff.delayMillis(queue.failures));
    }
  }
}
