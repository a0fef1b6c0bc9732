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

/** Allotments that this daemon holds: its own and those of ledgers handed over to it. */
final class AllotmentHolder {

  /** An open reservation with its holder and budget. */
  record HolderReservation(
      String holder, String budget, String account, OpenReservationEntry entry) {}

  /**
   * Period in milliseconds for which a holder retains its expected demand when another holder
   * requests a release.
   */
  private static final long RELEASE_RESERVE_MILLIS = 5_000;

  private static final class HeldLedger {
    private final HolderLedger ledger;
    private final Map<String, HeldAllotment> allotments = new LinkedHashMap<>();

    private HeldLedger(HolderLedger ledger, boolean isAdopted) {
      this.ledger = ledger;
      for (BudgetLedger b : ledger.budgets()) {
        allotments.put(b.budget(), new HeldAllotment(ledger, b, isAdopted));
      }
    }
  }

  private final Scheduler scheduler;
  private final EventRecorder events;
  private final AllotmentTableClient tableClient;
  private final HeldLedger ownLedger;
  private final Map<String, HeldLedger> adoptedLedgers = new LinkedHashMap<>();
  private final Set<String> closedHolders = new HashSet<>();
  private boolean isGranting = true;

  AllotmentHolder(
      Scheduler scheduler, EventRecorder events, AllotmentTableClient tableClient, String self) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.events = Objects.requireNonNull(events, "events");
    this.tableClient = Objects.requireNonNull(tableClient, "tableClient");
    this.ownLedger = new HeldLedger(new HolderLedger(self), false);
  }

  CompletableFuture<ReservationResult> reserve(ReserveCall call, long waitMillis) {
    Optional<ReservationResult> known = findEarlierResult(call);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known.get());
    }
    if (!isGranting) {
      return unavailable("the holder is stopping");
    }
    for (HeldLedger held : adoptedLedgers.values()) {
      HeldAllotment allotment = held.allotments.get(call.budget());
      if (allotment != null && isGrantable(allotment, call)) {
        return CompletableFuture.completedFuture(grant(allotment, call));
      }
    }
    return reserveOwn(call, waitMillis);
  }

  private Optional<ReservationResult> findEarlierResult(ReserveCall call) {
    if (ownLedger.ledger.isClosed(call.reservationId())) {
      return Optional.of(new ReservationResult.Unavailable("the reservation is closed"));
    }
    for (HeldLedger held : heldLedgers()) {
      if (held.ledger.isOpen(call.reservationId())) {
        return Optional.of(call.toGranted(held.ledger.holder()));
      }
    }
    return Optional.empty();
  }

  private CompletableFuture<ReservationResult> reserveOwn(ReserveCall call, long waitMillis) {
    HeldAllotment allotment = ownAllotment(call.budget());
    if (allotment.waiting.isEmpty() && isGrantable(allotment, call)) {
      ReservationResult granted = grant(allotment, call);
      tableClient.refillIfLow(allotment);
      return CompletableFuture.completedFuture(granted);
    }
    allotment.ledger.noteDemand(call.tokens(), scheduler.nowMillis());
    if (allotment.isClosed || waitMillis <= 0 || tableClient.isDown()) {
      tableClient.refillIfLow(allotment);
      return unavailable("the platform does not respond and the allotment is used up");
    }
    WaitingReservation waiter = new WaitingReservation(call);
    allotment.waiting.add(waiter);
    waiter.timer = scheduler.schedule(waitMillis, () -> expire(allotment, waiter));
    CompletableFuture<ReservationResult> result =
        waiter.result.thenApply(r -> recordResult(call, r));
    tableClient.startWork(allotment);
    return result;
  }

  private static CompletableFuture<ReservationResult> unavailable(String reason) {
    return CompletableFuture.completedFuture(new ReservationResult.Unavailable(reason));
  }

  private static void expire(HeldAllotment allotment, WaitingReservation waiter) {
    allotment.waiting.remove(waiter);
    waiter.complete(new ReservationResult.Unavailable("the platform did not respond in time"));
  }

  private static boolean isGrantable(HeldAllotment allotment, ReserveCall call) {
    return !allotment.isClosed
        && allotment.ledger.account().equals(call.account())
        && call.tokens() <= allotment.ledger.available();
  }

  private ReservationResult grant(HeldAllotment allotment, ReserveCall call) {
    HolderLedger.GrantResult grant = allotment.grant(call, scheduler.nowMillis());
    if (grant != HolderLedger.GrantResult.GRANTED) {
      return new ReservationResult.Unavailable("the reservation can't be granted");
    }
    return recordResult(call, call.toGranted(allotment.holderLedger.holder()));
  }

  private ReservationResult recordResult(ReserveCall call, ReservationResult result) {
    String kind =
        result instanceof ReservationResult.Granted ? "reservation_granted" : "reservation_refused";
    String detail = "tokens=" + call.tokens() + " result=" + result.getClass().getSimpleName();
    events.record(kind, call.account(), call.requestId(), call.budget(), "", detail);
    return result;
  }

  private HeldAllotment ownAllotment(String budget) {
    return ownLedger.allotments.computeIfAbsent(
        budget,
        b ->
            new HeldAllotment(
                ownLedger.ledger, ownLedger.ledger.budget(b, scheduler.nowMillis()), false));
  }

  private List<HeldLedger> heldLedgers() {
    List<HeldLedger> all = new ArrayList<>(adoptedLedgers.values());
    all.add(ownLedger);
    return all;
  }

  /** Trims or closes a reservation in the ledger that contains it. */
  void settle(SettleEntry entry) {
    for (HeldLedger held : heldLedgers()) {
      boolean isOpen = held.ledger.isOpen(entry.getReservationId());
      if (isOpen && entry.getFinal()) {
        held.ledger.close(entry.getReservationId(), entry.getTokens(), scheduler.nowMillis());
      } else if (isOpen) {
        held.ledger.trim(entry.getReservationId(), entry.getTokens());
      }
    }
    if (entry.getFinal()) {
      ownLedger.ledger.close(entry.getReservationId(), 0, scheduler.nowMillis());
    }
  }

  /** Returns surplus tokens to the platform, up to the requested number. */
  CompletableFuture<Long> release(String budget, long tokens) {
    HeldAllotment allotment = ownLedger.allotments.get(budget);
    if (allotment == null || allotment.isClosed) {
      return CompletableFuture.completedFuture(0L);
    }
    long kept = allotment.ledger.expectedDemand(RELEASE_RESERVE_MILLIS, scheduler.nowMillis());
    long surplus = Math.min(tokens, allotment.ledger.available() - kept);
    if (surplus <= 0) {
      return CompletableFuture.completedFuture(0L);
    }
    CompletableFuture<Long> released = new CompletableFuture<>();
    allotment.pendingReleases.add(released);
    allotment.tokensToReturn = Math.max(allotment.tokensToReturn, surplus);
    tableClient.startWork(allotment);
    return released;
  }

  /** Returns surplus tokens, removes unused allotments and closes adopted ledgers. */
  void maintain() {
    long now = scheduler.nowMillis();
    for (HeldAllotment allotment : List.copyOf(ownLedger.allotments.values())) {
      long surplus =
          AllotmentSizing.surplus(
              allotment.ledger.target(allotment.lean(), now), allotment.ledger.available());
      if (surplus > 0 && !tableClient.isDown()) {
        allotment.tokensToReturn = surplus;
        tableClient.startWork(allotment);
      } else if (allotment.ledger.isIdle(now) && allotment.isRemovable() && !allotment.isClosed) {
        ownLedger.allotments.remove(allotment.ledger.budget());
        ownLedger.ledger.remove(allotment.ledger.budget());
      }
    }
    if (!tableClient.isDown()) {
      adoptedLedgers.values().forEach(this::requestReturn);
    }
    for (HeldLedger held : List.copyOf(adoptedLedgers.values())) {
      if (held.allotments.values().stream()
          .allMatch(allotment -> allotment.isClosed && !allotment.isBusy)) {
        adoptedLedgers.remove(held.ledger.holder());
        closedHolders.add(held.ledger.holder());
        events.record("ledger_closed", "holder=" + held.ledger.holder());
      }
    }
  }

  private void requestReturn(HeldLedger held) {
    for (HeldAllotment allotment : held.allotments.values()) {
      allotment.isCloseRequested = !allotment.isClosed;
      allotment.tokensToReturn = Math.max(0, allotment.ledger.available());
      tableClient.startWork(allotment);
    }
  }

  /** Adopts the ledger of another holder. Repeated calls have no further effect. */
  boolean adopt(String holder, List<HandOverEntry> entries) {
    if (adoptedLedgers.containsKey(holder) || closedHolders.contains(holder)) {
      return true;
    }
    if (!isGranting || holder.equals(ownLedger.ledger.holder())) {
      return false;
    }
    HolderLedger ledger = HolderLedger.restore(holder, entries, scheduler.nowMillis());
    adoptedLedgers.put(holder, new HeldLedger(ledger, true));
    events.record("ledger_adopted", "holder=" + holder + " budgets=" + entries.size());
    return true;
  }

  boolean holdsLedgerOf(String holder) {
    return adoptedLedgers.containsKey(holder);
  }

  boolean canSettle(String holder) {
    return holder.equals(ownLedger.ledger.holder()) || adoptedLedgers.containsKey(holder);
  }

  void stopGranting() {
    isGranting = false;
  }

  boolean hasOpenReservations() {
    return heldLedgers().stream().anyMatch(h -> h.ledger.hasOpen());
  }

  /** Starts to return all tokens that are not reserved. */
  void requestReturnOfAll() {
    heldLedgers().forEach(this::requestReturn);
  }

  boolean areAllClosed() {
    return heldLedgers().stream()
        .flatMap(h -> h.allotments.values().stream())
        .allMatch(allotment -> allotment.isClosed && !allotment.isBusy);
  }

  /** Permanently stops granting and all platform operations. */
  void freeze() {
    isGranting = false;
    tableClient.freeze();
  }

  /** Returns true while a write is in progress. */
  boolean isWriting() {
    return heldLedgers().stream()
        .flatMap(h -> h.allotments.values().stream())
        .anyMatch(allotment -> allotment.isWriting);
  }

  /** Returns the entries of all ledgers that are not closed. */
  Map<String, List<HandOverEntry>> toHandOver() {
    Map<String, List<HandOverEntry>> ledgers = new LinkedHashMap<>();
    for (HeldLedger held : heldLedgers()) {
      List<HandOverEntry> entries =
          held.allotments.values().stream()
              .filter(allotment -> !allotment.isClosed)
              .map(allotment -> allotment.ledger.toHandOver())
              .toList();
      if (!entries.isEmpty()) {
        ledgers.put(held.ledger.holder(), entries);
      }
    }
    return ledgers;
  }

  /** Returns all open reservations in the ledgers that this daemon holds. */
  List<HolderReservation> openReservations() {
    List<HolderReservation> open = new ArrayList<>();
    for (HeldLedger held : heldLedgers()) {
      for (HeldAllotment allotment : held.allotments.values()) {
        for (OpenReservationEntry e : allotment.ledger.open()) {
          open.add(
              new HolderReservation(
                  held.ledger.holder(), allotment.ledger.budget(), allotment.ledger.account(), e));
        }
      }
    }
    return open;
  }

  long available() {
    return ownLedger.ledger.budgets().stream().mapToLong(BudgetLedger::available).sum();
  }

  /** Returns the tokens that can be reserved without a draw. */
  long available(String budget) {
    return heldLedgers().stream()
        .map(h -> h.allotments.get(budget))
        .filter(allotment -> allotment != null && !allotment.isClosed)
        .mapToLong(allotment -> Math.max(0, allotment.ledger.available()))
        .sum();
  }
}
