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
 * Sends settlements to other holders in batches and repeats each one until it is acknowledged. A
 * holder that is not a member any more may have handed over its ledger to any daemon of the domain,
 * so its settlements go to all of them; they are dropped only when the holder is known to have
 * ended and all daemons of the domain have acknowledged.
 */
final class SettlementOutbox {

  private static final long TICK_MILLIS = 50;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long MAX_RETRY_MILLIS = 5_000;
  private static final int MAX_ENTRIES = 500;

  private static final class Mailbox {
    private final Map<String, SettleEntry> entries = new LinkedHashMap<>();
    private boolean busy;
    private int failures;
  }

  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder events;
  private final Backoff backoff;

  /** A ledger may have been handed over to this daemon while settlements for it were waiting. */
  private final Predicate<String> isHeldHere;

  private final Consumer<SettleEntry> settleHere;
  private final Map<String, Mailbox> mailboxes = new HashMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final Set<String> ended = new HashSet<>();

  SettlementOutbox(
      Scheduler scheduler,
      PeerTransport peers,
      MembershipView membership,
      EventRecorder events,
      LongSupplier random,
      Predicate<String> isHeldHere,
      Consumer<SettleEntry> settleHere) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.events = Objects.requireNonNull(events, "events");
    this.isHeldHere = Objects.requireNonNull(isHeldHere, "isHeldHere");
    this.settleHere = Objects.requireNonNull(settleHere, "settleHere");
    this.backoff = new Backoff(2 * TICK_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Notes that the daemon at an address grants for a holder whose ledger it took over. */
  void noteSuccessor(String holder, String address) {
    addresses.put(holder, address);
  }

  /** Notes which incarnations the platform lists as live; holders not among them have ended. */
  void noteLive(Set<String> live) {
    ended.clear();
    mailboxes.keySet().stream().filter(h -> !live.contains(h)).forEach(ended::add);
  }

  void add(SettleEntry entry) {
    Mailbox box = mailboxes.computeIfAbsent(entry.getHolder(), h -> new Mailbox());
    SettleEntry earlier = box.entries.get(entry.getReservationId());
    if (earlier == null || !earlier.getFinal()) {
      box.entries.put(entry.getReservationId(), entry);
    }
    scheduleSend(entry.getHolder(), box, TICK_MILLIS);
  }

  boolean isEmpty() {
    return mailboxes.isEmpty();
  }

  private void scheduleSend(String holder, Mailbox box, long delayMillis) {
    if (!box.busy) {
      box.busy = true;
      scheduler.schedule(delayMillis, () -> send(holder, box));
    }
  }

  private void send(String holder, Mailbox box) {
    List<SettleEntry> batch = box.entries.values().stream().limit(MAX_ENTRIES).toList();
    if (isHeldHere.test(holder)) {
      batch.forEach(settleHere);
      complete(holder, box, batch, true);
      return;
    }
    Optional<String> address = addressOf(holder);
    CompletableFuture<Boolean> sent =
        address.isPresent() ? sendTo(address.get(), batch) : sendToDomain(holder, batch);
    FutureCallbacks.onValue(sent, acknowledged -> complete(holder, box, batch, acknowledged));
  }

  private Optional<String> addressOf(String holder) {
    Optional<String> member =
        membership.alive().stream()
            .filter(m -> m.incarnation().equals(holder))
            .map(MemberInfo::peerAddress)
            .findFirst();
    return member.isPresent() ? member : Optional.ofNullable(addresses.get(holder));
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
            done -> ended.contains(holder) && calls.stream().allMatch(CompletableFuture::join));
  }

  private void complete(String holder, Mailbox box, List<SettleEntry> batch, boolean ok) {
    box.busy = false;
    if (ok) {
      box.failures = 0;
      batch.forEach(e -> box.entries.remove(e.getReservationId(), e));
    } else {
      box.failures++;
      addresses.remove(holder);
    }
    if (box.entries.isEmpty()) {
      mailboxes.remove(holder, box);
    } else {
      scheduleSend(holder, box, ok ? TICK_MILLIS : backoff.delayMillis(box.failures));
    }
  }
}
