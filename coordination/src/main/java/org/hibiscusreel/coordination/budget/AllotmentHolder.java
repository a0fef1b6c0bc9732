package org.hibiscusreel.coordination.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.AllotmentSizing;
import org.hibiscusreel.core.budget.BudgetLedger;
import org.hibiscusreel.core.budget.HandOverEntry;
import org.hibiscusreel.core.budget.HolderLedger;
import org.hibiscusreel.core.budget.OpenReservationEntry;
import org.hibiscusreel.wire.SettleEntry;

/** The allotments that this daemon holds: its own and those of ledgers handed over to it. */
final class AllotmentHolder {

  /** An open reservation with its holder and budget. */
  record Open(String holder, String budget, String account, OpenReservationEntry entry) {}

  /** A holder that is asked to release tokens keeps what it needs for this time. */
  private static final long RELEASE_KEEP_MILLIS = 5_000;

  private static final class Held {
    private final HolderLedger ledger;
    private final Map<String, HeldAllotment> allotments = new LinkedHashMap<>();

    private Held(HolderLedger ledger, boolean isAdopted) {
      this.ledger = ledger;
      for (BudgetLedger b : ledger.budgets()) {
        allotments.put(b.budget(), new HeldAllotment(ledger, b, isAdopted));
      }
    }
  }

  private final Scheduler scheduler;
  private final EventRecorder events;
  private final AllotmentPlatform platform;
  private final Held own;
  private final Map<String, Held> adopted = new LinkedHashMap<>();
  private final Set<String> finished = new HashSet<>();
  private boolean isGranting = true;

  AllotmentHolder(
      Scheduler scheduler, EventRecorder events, AllotmentPlatform platform, String self) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.events = Objects.requireNonNull(events, "events");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.own = new Held(new HolderLedger(self), false);
  }

  CompletableFuture<ReservationResult> reserve(ReserveCall call, long waitMillis) {
    Optional<ReservationResult> known = repeated(call);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known.get());
    }
    if (!isGranting) {
      return unavailable("the holder is stopping");
    }
    for (Held held : adopted.values()) {
      HeldAllotment a = held.allotments.get(call.budget());
      if (a != null && isGrantable(a, call)) {
        return CompletableFuture.completedFuture(grant(a, call));
      }
    }
    return reserveOwn(call, waitMillis);
  }

  private Optional<ReservationResult> repeated(ReserveCall call) {
    if (own.ledger.isClosed(call.reservationId())) {
      return Optional.of(new ReservationResult.Unavailable("the reservation is closed"));
    }
    for (Held held : all()) {
      if (held.ledger.isOpen(call.reservationId())) {
        return Optional.of(call.toGranted(held.ledger.holder()));
      }
    }
    return Optional.empty();
  }

  private CompletableFuture<ReservationResult> reserveOwn(ReserveCall call, long waitMillis) {
    HeldAllotment a = ownAllotment(call.budget());
    if (a.waiting.isEmpty() && isGrantable(a, call)) {
      ReservationResult granted = grant(a, call);
      platform.refillIfLow(a);
      return CompletableFuture.completedFuture(granted);
    }
    a.ledger.noteDemand(call.tokens(), scheduler.nowMillis());
    if (a.isClosed || waitMillis <= 0 || platform.isDown()) {
      platform.refillIfLow(a);
      return unavailable("the platform does not respond and the allotment is used up");
    }
    WaitingReservation w = new WaitingReservation(call);
    a.waiting.add(w);
    w.timer = scheduler.schedule(waitMillis, () -> expire(a, w));
    CompletableFuture<ReservationResult> result = w.result.thenApply(r -> recorded(call, r));
    platform.start(a);
    return result;
  }

  private static CompletableFuture<ReservationResult> unavailable(String reason) {
    return CompletableFuture.completedFuture(new ReservationResult.Unavailable(reason));
  }

  private static void expire(HeldAllotment a, WaitingReservation w) {
    a.waiting.remove(w);
    w.complete(new ReservationResult.Unavailable("the platform did not respond in time"));
  }

  private static boolean isGrantable(HeldAllotment a, ReserveCall call) {
    return !a.isClosed
        && a.ledger.account().equals(call.account())
        && call.tokens() <= a.ledger.available();
  }

  private ReservationResult grant(HeldAllotment a, ReserveCall call) {
    HolderLedger.Grant grant = a.grant(call, scheduler.nowMillis());
    if (grant != HolderLedger.Grant.GRANTED) {
      return new ReservationResult.Unavailable("the reservation can't be granted");
    }
    return recorded(call, call.toGranted(a.holderLedger.holder()));
  }

  private ReservationResult recorded(ReserveCall call, ReservationResult result) {
    String kind =
        result instanceof ReservationResult.Granted ? "reservation_granted" : "reservation_refused";
    String detail = "tokens=" + call.tokens() + " result=" + result.getClass().getSimpleName();
    events.record(kind, call.account(), call.requestId(), call.budget(), "", detail);
    return result;
  }

  private HeldAllotment ownAllotment(String budget) {
    return own.allotments.computeIfAbsent(
        budget,
        b -> new HeldAllotment(own.ledger, own.ledger.budget(b, scheduler.nowMillis()), false));
  }

  private List<Held> all() {
    List<Held> all = new ArrayList<>(adopted.values());
    all.add(own);
    return all;
  }

  /** Trims or closes a reservation in whichever ledger it is open. */
  void settle(SettleEntry entry) {
    for (Held held : all()) {
      boolean isOpen = held.ledger.isOpen(entry.getReservationId());
      if (isOpen && entry.getFinal()) {
        held.ledger.close(entry.getReservationId(), entry.getTokens(), scheduler.nowMillis());
      } else if (isOpen) {
        held.ledger.trim(entry.getReservationId(), entry.getTokens());
      }
    }
    if (entry.getFinal()) {
      own.ledger.close(entry.getReservationId(), 0, scheduler.nowMillis());
    }
  }

  /** Returns tokens to the platform that are not needed here soon. */
  CompletableFuture<Long> release(String budget, long tokens) {
    HeldAllotment a = own.allotments.get(budget);
    if (a == null || a.isClosed) {
      return CompletableFuture.completedFuture(0L);
    }
    long kept = a.ledger.expectedDemand(RELEASE_KEEP_MILLIS, scheduler.nowMillis());
    long surplus = Math.min(tokens, a.ledger.available() - kept);
    if (surplus <= 0) {
      return CompletableFuture.completedFuture(0L);
    }
    CompletableFuture<Long> released = new CompletableFuture<>();
    a.releases.add(released);
    a.wantsReturn = Math.max(a.wantsReturn, surplus);
    platform.start(a);
    return released;
  }

  /** Returns surplus, forgets allotments that are used up and closes those handed over. */
  void maintain() {
    long now = scheduler.nowMillis();
    for (HeldAllotment a : List.copyOf(own.allotments.values())) {
      long surplus = AllotmentSizing.surplus(a.ledger.target(a.lean(), now), a.ledger.available());
      if (surplus > 0 && !platform.isDown()) {
        a.wantsReturn = surplus;
        platform.start(a);
      } else if (a.ledger.isIdle(now) && a.isForgettable() && !a.isClosed) {
        own.allotments.remove(a.ledger.budget());
        own.ledger.forget(a.ledger.budget());
      }
    }
    if (!platform.isDown()) {
      adopted.values().forEach(this::drain);
    }
    for (Held held : List.copyOf(adopted.values())) {
      if (held.allotments.values().stream().allMatch(a -> a.isClosed && !a.isBusy)) {
        adopted.remove(held.ledger.holder());
        finished.add(held.ledger.holder());
        events.record("ledger_closed", "holder=" + held.ledger.holder());
      }
    }
  }

  private void drain(Held held) {
    for (HeldAllotment a : held.allotments.values()) {
      a.wantsClose = !a.isClosed;
      a.wantsReturn = Math.max(0, a.ledger.available());
      platform.start(a);
    }
  }

  /** Takes over a ledger. Repeated calls have no further effect. */
  boolean adopt(String holder, List<HandOverEntry> entries) {
    if (adopted.containsKey(holder) || finished.contains(holder)) {
      return true;
    }
    if (!isGranting || holder.equals(own.ledger.holder())) {
      return false;
    }
    HolderLedger ledger = HolderLedger.restore(holder, entries, scheduler.nowMillis());
    adopted.put(holder, new Held(ledger, true));
    events.record("ledger_adopted", "holder=" + holder + " budgets=" + entries.size());
    return true;
  }

  boolean holdsLedgerOf(String holder) {
    return adopted.containsKey(holder);
  }

  boolean canSettle(String holder) {
    return holder.equals(own.ledger.holder()) || adopted.containsKey(holder);
  }

  void stopGranting() {
    isGranting = false;
  }

  boolean hasOpen() {
    return all().stream().anyMatch(h -> h.ledger.hasOpen());
  }

  /** Starts to return everything that is not reserved. */
  void closeAll() {
    all().forEach(this::drain);
  }

  boolean isAllClosed() {
    return all().stream()
        .flatMap(h -> h.allotments.values().stream())
        .allMatch(a -> a.isClosed && !a.isBusy);
  }

  /** Ends all work for good. */
  void freeze() {
    isGranting = false;
    platform.freeze();
  }

  /** Returns true while the outcome of a write is open. */
  boolean isWriting() {
    return all().stream().flatMap(h -> h.allotments.values().stream()).anyMatch(a -> a.isWriting);
  }

  /** Returns the entries of all ledgers that are not closed. */
  Map<String, List<HandOverEntry>> toHandOver() {
    Map<String, List<HandOverEntry>> ledgers = new LinkedHashMap<>();
    for (Held held : all()) {
      List<HandOverEntry> entries =
          held.allotments.values().stream()
              .filter(a -> !a.isClosed)
              .map(a -> a.ledger.toHandOver())
              .toList();
      if (!entries.isEmpty()) {
        ledgers.put(held.ledger.holder(), entries);
      }
    }
    return ledgers;
  }

  /** Returns all open reservations that this daemon holds. */
  List<Open> openReservations() {
    List<Open> open = new ArrayList<>();
    for (Held held : all()) {
      for (HeldAllotment a : held.allotments.values()) {
        for (OpenReservationEntry e : a.ledger.open()) {
          open.add(new Open(held.ledger.holder(), a.ledger.budget(), a.ledger.account(), e));
        }
      }
    }
    return open;
  }

  long available() {
    return own.ledger.budgets().stream().mapToLong(BudgetLedger::available).sum();
  }

  /** Returns the tokens that can be reserved without a draw. */
  long available(String budget) {
    return all().stream()
        .map(h -> h.allotments.get(budget))
        .filter(a -> a != null && !a.isClosed)
        .mapToLong(a -> Math.max(0, a.ledger.available()))
        .sum();
  }
}
