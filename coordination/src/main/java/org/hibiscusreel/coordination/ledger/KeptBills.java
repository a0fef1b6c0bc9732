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
 * Copies of other daemons' bills. A copy is dropped once the bill is in the platform. If its server
 * has ended without writing it, this daemon bills the request from a reservation of its own, so
 * that the bill does not depend on tokens that the server held.
 */
public final class KeptBills {

  private static final int MAX_COPIES = 20_000;
  private static final long ROUND_INTERVAL_MILLIS = 10_000;
  private static final long RESERVE_WAIT_MILLIS = 2_000;
  private static final int KEYS_PER_COPY = 2;

  private final Scheduler scheduler;
  private final TableService table;
  private final BudgetReservations reservations;
  private final Billing billing;
  private final EventRecorder events;
  private final String self;
  private final Map<RequestKey, KeptBill> copies = new LinkedHashMap<>();
  private Cancellable timer = () -> {};

  /**
   * Creates an empty set of copies.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param reservations reserves tokens for bills of ended servers
   * @param billing writes bills of ended servers
   * @param events stamps messages and records the time line
   * @param self incarnation of this daemon
   */
  public KeptBills(
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

  /** Starts the periodic comparison with the platform. */
  public void start() {
    timer = scheduler.schedule(ROUND_INTERVAL_MILLIS, this::round);
  }

  /** Ends the periodic comparison. */
  public void stop() {
    timer.cancel();
  }

  /**
   * Handles copies of another daemon.
   *
   * @param request the message
   * @return whether all copies are kept
   */
  public KeepBillsResponse handleKeepBills(KeepBillsRequest request) {
    events.observe(request.getStamp());
    boolean hasRoom = copies.size() + request.getBillsCount() <= MAX_COPIES;
    if (hasRoom) {
      request.getBillsList().forEach(b -> copies.put(keyOf(b), b));
    }
    return KeepBillsResponse.newBuilder().setStamp(events.stamp()).setKept(hasRoom).build();
  }

  private static RequestKey keyOf(KeptBill b) {
    return new RequestKey(b.getAccount(), b.getRequestId());
  }

  private void round() {
    List<KeptBill> oldest =
        copies.values().stream().limit(TableService.MAX_ROWS / KEYS_PER_COPY).toList();
    if (oldest.isEmpty()) {
      start();
      return;
    }
    Set<String> keys =
        oldest.stream()
            .flatMap(
                b ->
                    List.of(
                        TableKeys.bill(b.getAccount(), b.getRequestId()),
                        TableKeys.incarnation(b.getServer()))
                        .stream())
            .collect(Collectors.toSet());
    FutureCallbacks.onValue(
        table.read(new ArrayList<>(keys)),
        result -> {
          if (result instanceof ReadResult.Rows rows) {
            Map<String, Row> byKey =
                rows.rows().stream().collect(Collectors.toMap(Row::key, r -> r));
            oldest.forEach(b -> compare(b, byKey));
          }
          start();
        });
  }

  private void compare(KeptBill b, Map<String, Row> rows) {
    RequestKey key = keyOf(b);
    copies.remove(key);
    if (rows.containsKey(TableKeys.bill(b.getAccount(), b.getRequestId()))) {
      return;
    }
    Optional<IncarnationState> state =
        Optional.ofNullable(rows.get(TableKeys.incarnation(b.getServer())))
            .map(r -> Json.read(r.value(), IncarnationRow.class).state());
    if (state.isPresent() && state.get() == IncarnationState.LIVE) {
      // Goes behind the others, so that each copy gets its turn.
      copies.put(key, b);
    } else {
      bill(key, b);
    }
  }

  private void bill(RequestKey key, KeptBill b) {
    if (!billing.tryAcquire()) {
      copies.put(key, b);
      return;
    }
    CompletableFuture<ReservationResult> reserved =
        reservations.reserve(key, b.getBudget(), b.getTokens(), RESERVE_WAIT_MILLIS);
    FutureCallbacks.onValue(
        reserved,
        result -> {
          if (result instanceof ReservationResult.Granted g) {
            billing.record(toBill(b, g.reservation()), g.reservation());
            events.record(
                "bill_recovered", b.getAccount(), b.getRequestId(), b.getBudget(), "", "copy");
          } else {
            billing.release();
            copies.put(key, b);
          }
        });
  }

  private Bill toBill(KeptBill b, Reservation r) {
    return new Bill(
        b.getAccount(),
        b.getRequestId(),
        b.getBudget(),
        r.holder(),
        self,
        r.id(),
        b.getTarget(),
        0,
        b.getTokens(),
        b.getWorth(),
        b.getSite(),
        b.getFingerprint(),
        b.getArrivedAtMillis(),
        b.getFinishedAtMillis(),
        b.getLateMillis());
  }
}
