package org.hibiscusreel.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeepBillsResponse;
import org.hibiscusreel.wire.KeptBill;

/**
 * In-memory copies of the bills of other daemons. A copy is removed once the bill is in the
 * platform. If its server has ended without writing the bill, this daemon bills the request from a
 * reservation of its own, so that the bill does not depend on tokens that the server held.
 */
public final class BillCopies {

  private static final int MAX_COPIES = 20_000;
  private static final long CHECK_INTERVAL_MILLIS = 10_000;
  private static final long RESERVE_TIMEOUT_MILLIS = 2_000;
  private static final int ROWS_PER_COPY = 2;

  private final Scheduler scheduler;
  private final TableService table;
  private final BudgetReservations reservations;
  private final Billing billing;
  private final EventRecorder events;
  private final String self;
  private final Map<RequestKey, KeptBill> copies = new LinkedHashMap<>();
  private Cancellable timer = () -> {};

  /**
   * Creates a store without copies.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param reservations reserves tokens for bills of ended servers
   * @param billing writes bills of ended servers
   * @param events stamps messages and records the event timeline
   * @param self incarnation of this daemon
   */
  public BillCopies(
      Scheduler scheduler,
      TableService table,
      BudgetReservations reservations,
      Billing billing,
      EventRecorder events,
      String self) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.reservations = Objects.requireNonNull(reservations, "reservations");
    this.billing = Objects.requireNonNull(billing, "billing");
    this.events = Objects.requireNonNull(events, "events");
    this.self = Objects.requireNonNull(self, "self");
  }

  /** Starts the periodic check of the copies against the platform. */
  public void start() {
    timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::checkCopies);
  }

  /** Stops the periodic check. */
  public void stop() {
    timer.cancel();
  }

  /**
   * Handles copies of bills from another daemon.
   *
   * @param request the message
   * @return the response, which states whether all copies were stored
   */
  public KeepBillsResponse handleKeepBills(KeepBillsRequest request) {
    events.observe(request.getStamp());
    boolean hasRoom = copies.size() + request.getBillsCount() <= MAX_COPIES;
    if (hasRoom) {
      request.getBillsList().forEach(copy -> copies.put(requestKeyOf(copy), copy));
    }
    return KeepBillsResponse.newBuilder().setStamp(events.stamp()).setKept(hasRoom).build();
  }

  private static RequestKey requestKeyOf(KeptBill copy) {
    return new RequestKey(copy.getAccount(), copy.getRequestId());
  }

  private void checkCopies() {
    List<KeptBill> oldest =
        copies.values().stream().limit(TableService.MAX_ROWS / ROWS_PER_COPY).toList();
    if (oldest.isEmpty()) {
      start();
      return;
    }
    Set<String> keys =
        oldest.stream()
            .flatMap(
                copy ->
                    List.of(
                        TableKeys.bill(copy.getAccount(), copy.getRequestId()),
                        TableKeys.incarnation(copy.getServer()))
                        .stream())
            .collect(Collectors.toSet());
    FutureCallbacks.onValue(
        table.read(new ArrayList<>(keys)),
        result -> {
          if (result instanceof ReadResult.Rows rows) {
            Map<String, Row> byKey =
                rows.rows().stream().collect(Collectors.toMap(Row::key, r -> r));
            oldest.forEach(copy -> checkCopy(copy, byKey));
          }
          start();
        });
  }

  private void checkCopy(KeptBill copy, Map<String, Row> rows) {
    RequestKey key = requestKeyOf(copy);
    copies.remove(key);
    if (rows.containsKey(TableKeys.bill(copy.getAccount(), copy.getRequestId()))) {
      return;
    }
    Optional<IncarnationState> state =
        Optional.ofNullable(rows.get(TableKeys.incarnation(copy.getServer())))
            .map(r -> Json.read(r.value(), IncarnationRow.class).state());
    if (state.isPresent() && state.get() == IncarnationState.LIVE) {
      // Moves the copy to the end, so that every copy is checked in turn.
      copies.put(key, copy);
    } else {
      bill(key, copy);
    }
  }

  private void bill(RequestKey key, KeptBill copy) {
    if (!billing.tryAcquireSlot()) {
      copies.put(key, copy);
      return;
    }
    CompletableFuture<ReservationResult> reserved =
        reservations.reserve(key, copy.getBudget(), copy.getTokens(), RESERVE_TIMEOUT_MILLIS);
    FutureCallbacks.onValue(
        reserved,
        result -> {
          if (result instanceof ReservationResult.Granted g) {
            billing.record(toBill(copy, g.reservation()), g.reservation());
            events.record(
                "bill_recovered",
                copy.getAccount(),
                copy.getRequestId(),
                copy.getBudget(),
                "",
                "copy");
          } else {
            billing.releaseSlot();
            copies.put(key, copy);
          }
        });
  }

  private Bill toBill(KeptBill copy, Reservation r) {
    return new Bill(
        copy.getAccount(),
        copy.getRequestId(),
        copy.getBudget(),
        r.holder(),
        self,
        r.id(),
        copy.getTarget(),
        0,
        copy.getTokens(),
        copy.getWorth(),
        copy.getSite(),
        copy.getFingerprint(),
        copy.getArrivedAtMillis(),
        copy.getFinishedAtMillis(),
        copy.getLateMillis());
  }
}
