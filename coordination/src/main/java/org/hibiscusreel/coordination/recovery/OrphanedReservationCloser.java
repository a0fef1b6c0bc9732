package org.hibiscusreel.coordination.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.AllotmentService;
import org.hibiscusreel.coordination.budget.HeldReservation;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/**
 * Closes reservations at this holder whose server has ended, with the tokens that the server
 * billed.
 */
final class OrphanedReservationCloser {

  /** Limits the number of reads per round. */
  private static final int MAX_RESERVATIONS_PER_ROUND = 50;

  private final TableService table;
  private final AllotmentService allotments;

  OrphanedReservationCloser(TableService table, AllotmentService allotments) {
    this.table = Objects.requireNonNull(table, "table");
    this.allotments = Objects.requireNonNull(allotments, "allotments");
  }

  CompletableFuture<Void> closeAll(IncarnationRegistry registry) {
    List<HeldReservation> ended = new ArrayList<>();
    for (Map.Entry<String, List<HeldReservation>> e : allotments.openByServer().entrySet()) {
      IncarnationRow server = registry.rows().get(e.getKey());
      if (server != null && hasFinalBills(server.state())) {
        ended.addAll(e.getValue());
      }
    }
    return FutureCallbacks.forEachSequentially(
        ended.stream().limit(MAX_RESERVATIONS_PER_ROUND).toList(), this::close);
  }

  private static boolean hasFinalBills(IncarnationState state) {
    return state == IncarnationState.CLOSED || state == IncarnationState.RECOVERED;
  }

  /**
   * Looks for the bill under the request identifier and under identifiers with a fingerprint
   * appended.
   */
  private CompletableFuture<Void> close(HeldReservation reservation) {
    String key = TableKeys.bill(reservation.account(), reservation.entry().requestId());
    return table
        .read(List.of(key))
        .thenCombine(TableReads.scanAll(table, key + "~"), OrphanedReservationCloser::join)
        .thenAccept(
            rows -> {
              if (rows.isPresent()) {
                long tokens = billed(reservation.entry().id(), rows.get());
                allotments.closeOrphaned(reservation, tokens);
              }
            });
  }

  private static Optional<List<Row>> join(ReadResult exact, Optional<List<Row>> others) {
    if (!(exact instanceof ReadResult.Rows rows) || others.isEmpty()) {
      return Optional.empty();
    }
    List<Row> all = new ArrayList<>(rows.rows());
    all.addAll(others.get());
    return Optional.of(all);
  }

  private static long billed(String reservationId, List<Row> rows) {
    return rows.stream()
        .map(r -> Json.read(r.value(), Bill.class))
        .filter(b -> b.reservationId().equals(reservationId))
        .mapToLong(Bill::tokens)
        .sum();
  }
}
