package org.hibiscusreel.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.ledger.BillBatch;
import org.hibiscusreel.core.ledger.PendingBill;

/**
 * Buffers bills and flushes them to the platform in batches, with one transaction in progress at a
 * time.
 */
public final class BillingService implements Billing {

  private static final long FLUSH_INTERVAL_MILLIS = 5_000;

  /**
   * Delay in which the durable bills of calls that end together are collected into one transaction.
   */
  private static final long DURABLE_FLUSH_DELAY_MILLIS = 10;

  /** Longest time that a response is withheld until its bill is written. */
  private static final long DURABLE_TIMEOUT_MILLIS = 1_000;

  private static final int FLUSH_ROWS = TableService.MAX_ROWS;
  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 10_000;

  /** Longest time that a stop waits for the platform. */
  private static final long STOP_TIMEOUT_MILLIS = 10_000;

  private final Scheduler scheduler;
  private final BudgetReservations reservations;
  private final EventRecorder events;
  private final int maxBufferedBills;
  private final BillBackup backup;
  private final Runnable onDuplicate;
  private final BillWriter writer;
  private final Backoff backoff;

  /** Pending bills by identifier of the reservation, oldest first. */
  private final Map<String, PendingBill> pending = new LinkedHashMap<>();

  private final Map<String, Reservation> reservationsById = new LinkedHashMap<>();
  private final Map<String, CompletableFuture<Void>> durableWrites = new LinkedHashMap<>();
  private final List<CompletableFuture<Void>> pendingStops = new ArrayList<>();
  private Cancellable timer = () -> {};
  private int acquiredSlots;
  private int failures;
  private int billsAtFlushStart;
  private boolean isRunning;
  private boolean isFlushing;
  private boolean isRetrying;

  /**
   * Creates the service.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param reservations closes the reservations of bills
   * @param events records the event timeline
   * @param random source of random bits
   * @param backup stores copies of durable bills while the platform does not accept bills
   * @param onDuplicate called for each completed response whose request had been billed before
   * @param maxBufferedBills largest number of bills that are not yet written to the platform,
   *     positive
   */
  public BillingService(
      Scheduler scheduler,
      TableService table,
      BudgetReservations reservations,
      EventRecorder events,
      LongSupplier random,
      BillBackup backup,
      Runnable onDuplicate,
      int maxBufferedBills) {
    if (maxBufferedBills <= 0) {
      throw new IllegalArgumentException(
          "maxBufferedBills must be positive, but is " + maxBufferedBills);
    }
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.reservations = Objects.requireNonNull(reservations, "reservations");
    this.events = Objects.requireNonNull(events, "events");
    this.onDuplicate = Objects.requireNonNull(onDuplicate, "onDuplicate");
    this.backup = Objects.requireNonNull(backup, "backup");
    this.maxBufferedBills = maxBufferedBills;
    this.writer = new BillWriter(table);
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Starts the periodic flush. */
  public void start() {
    isRunning = true;
    timer = scheduler.schedule(FLUSH_INTERVAL_MILLIS, this::tick);
  }

  private void tick() {
    flush();
    if (isRunning) {
      start();
    }
  }

  /**
   * Flushes the buffer and ends the periodic flush.
   *
   * @return completes when the buffer is empty, or after ten seconds if the platform does not
   *     accept the bills
   */
  public CompletableFuture<Void> stop() {
    isRunning = false;
    timer.cancel();
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    pendingStops.add(stopped);
    scheduler.schedule(STOP_TIMEOUT_MILLIS, () -> stopped.complete(null));
    flush();
    completeStops();
    return stopped;
  }

  /**
   * Returns the number of bills that are not yet written to the platform.
   *
   * @return bills, not negative
   */
  public int pending() {
    return pending.size();
  }

  @Override
  public boolean hasCapacity() {
    return acquiredSlots + pending.size() < maxBufferedBills;
  }

  @Override
  public boolean tryAcquireSlot() {
    if (!hasCapacity()) {
      return false;
    }
    acquiredSlots++;
    return true;
  }

  @Override
  public void releaseSlot() {
    acquiredSlots = Math.max(0, acquiredSlots - 1);
  }

  @Override
  public void record(Bill bill, Reservation reservation) {
    Objects.requireNonNull(bill, "bill");
    Objects.requireNonNull(reservation, "reservation");
    releaseSlot();
    if (pending.putIfAbsent(bill.reservationId(), PendingBill.of(bill)) != null) {
      return;
    }
    reservationsById.put(bill.reservationId(), reservation);
    reservations.trim(reservation, bill.tokens());
    if (pending.size() >= FLUSH_ROWS || !isRunning) {
      flush();
    }
  }

  @Override
  public CompletableFuture<Void> recordDurably(Bill bill, Reservation reservation) {
    CompletableFuture<Void> written = new CompletableFuture<>();
    durableWrites.put(bill.reservationId(), written);
    record(bill, reservation);
    if (failures > 0) {
      copyToPeer(bill.reservationId());
    } else {
      scheduler.schedule(DURABLE_FLUSH_DELAY_MILLIS, this::flush);
      scheduler.schedule(DURABLE_TIMEOUT_MILLIS, () -> copyToPeer(bill.reservationId()));
    }
    return written;
  }

  /** Copies a durable bill to peers instead of waiting longer for the platform. */
  private void copyToPeer(String reservationId) {
    PendingBill waiting = pending.get(reservationId);
    if (waiting == null || !durableWrites.containsKey(reservationId)) {
      return;
    }
    FutureCallbacks.onValue(
        backup.copy(waiting.bill()),
        isKept -> {
          Bill b = waiting.bill();
          String kind = isKept ? "bill_copied" : "bill_not_copied";
          events.record(kind, b.account(), b.requestId(), b.budget(), "", "");
          completeDurable(reservationId);
        });
  }

  private void completeDurable(String reservationId) {
    CompletableFuture<Void> written = durableWrites.remove(reservationId);
    if (written != null) {
      written.complete(null);
    }
  }

  private void flush() {
    if (isFlushing || isRetrying || pending.isEmpty()) {
      return;
    }
    isFlushing = true;
    billsAtFlushStart = pending.size();
    BillBatch batch = BillBatch.select(pending.values(), FLUSH_ROWS);
    FutureCallbacks.onValue(writer.write(batch), attempt -> complete(batch, attempt));
  }

  private void complete(BillBatch batch, BillWriter.Attempt attempt) {
    isFlushing = false;
    attempt.outcomes().forEach(this::settle);
    if (!attempt.outcomes().isEmpty()) {
      String detail = "resolved=" + attempt.outcomes().size() + " waiting=" + pending.size();
      events.record("bills_flushed", detail);
    }
    boolean isProgress = !attempt.outcomes().isEmpty();
    failures = isProgress ? 0 : failures + 1;
    if (!attempt.failure().isEmpty()) {
      events.record("flush_failed", "bills=" + batch.bills().size() + " " + attempt.failure());
    }
    if (pending.isEmpty()) {
      completeStops();
    } else if (!isProgress) {
      List.copyOf(durableWrites.keySet()).forEach(this::copyToPeer);
      isRetrying = true;
      scheduler.schedule(backoff.delayMillis(failures), this::retry);
    } else if (!isRunning || isIncomplete(attempt) || isFlushDue()) {
      flush();
    }
  }

  private boolean isFlushDue() {
    return pending.size() >= FLUSH_ROWS || !durableWrites.isEmpty();
  }

  /** Returns true if bills that were pending when the flush began are still not resolved. */
  private boolean isIncomplete(BillWriter.Attempt attempt) {
    return attempt.outcomes().stream().filter(BillingService::isResolved).count()
        < billsAtFlushStart;
  }

  private static boolean isResolved(BillWriter.Outcome outcome) {
    return outcome.verdict() != PendingBill.Verdict.OTHER_REQUEST;
  }

  private void retry() {
    isRetrying = false;
    flush();
  }

  private void settle(BillWriter.Outcome outcome) {
    Bill bill = outcome.pending().bill();
    String id = bill.reservationId();
    if (!isResolved(outcome)) {
      pending.put(id, outcome.pending().withFingerprintKey());
      return;
    }
    pending.remove(id);
    boolean isWritten = outcome.verdict() == PendingBill.Verdict.WRITTEN;
    reservations.close(reservationsById.remove(id), isWritten ? bill.tokens() : 0);
    completeDurable(id);
    if (!isWritten) {
      onDuplicate.run();
    }
    String kind = isWritten ? "bill_written" : "bill_duplicate";
    String detail = "tokens=" + bill.tokens() + " key=" + outcome.pending().billedId();
    events.record(kind, bill.account(), bill.requestId(), bill.budget(), "", detail);
  }

  private void completeStops() {
    if (pending.isEmpty()) {
      pendingStops.forEach(s -> s.complete(null));
      pendingStops.clear();
    }
  }
}
