package org.hibiscusreel.bench.compare;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Baseline policy in which a daemon draws a fixed share of a budget at its first use and never
 * transfers or returns it. Each failure domain gets an equal share, divided equally among its
 * daemons.
 */
final class StaticSplit implements BudgetReservations {

  private final TableService table;
  private final String incarnation;
  private final long shares;
  private final Map<String, Long> freeTokens = new HashMap<>();
  private final Map<String, CompletableFuture<Optional<ReservationResult>>> pendingDraws =
      new HashMap<>();
  private final Map<String, Long> openReservations = new HashMap<>();
  private long nextReservation;

  /**
   * Creates the reservations of one daemon.
   *
   * @param table table service of the platform
   * @param incarnation incarnation of the daemon
   * @param shares number of failure domains times the number of daemons in that of this daemon
   */
  StaticSplit(TableService table, String incarnation, long shares) {
    this.table = table;
    this.incarnation = incarnation;
    this.shares = shares;
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    if (freeTokens.containsKey(budget)) {
      return CompletableFuture.completedFuture(reserveFromShare(budget, tokens));
    }
    CompletableFuture<Optional<ReservationResult>> draw = pendingDraws.get(budget);
    if (draw == null) {
      draw = drawShare(key.account(), budget);
      pendingDraws.put(budget, draw);
      var unused = draw.thenRun(() -> pendingDraws.remove(budget));
    }
    return draw.thenApply(failure -> failure.orElseGet(() -> reserveFromShare(budget, tokens)));
  }

  private ReservationResult reserveFromShare(String budget, long tokens) {
    long left = freeTokens.get(budget);
    if (left < tokens) {
      return new ReservationResult.Exhausted(left);
    }
    freeTokens.put(budget, left - tokens);
    Reservation r =
        new Reservation(incarnation + "/s" + nextReservation++, budget, incarnation, tokens);
    openReservations.put(r.id(), tokens);
    return new ReservationResult.Granted(r);
  }

  /** Draws the share of a budget. The result is the failure, or empty if the share was drawn. */
  private CompletableFuture<Optional<ReservationResult>> drawShare(String account, String budget) {
    String budgetKey = TableKeys.budget(budget);
    String ownKey = TableKeys.allotment(incarnation, budget);
    return table
        .read(List.of(budgetKey, ownKey))
        .thenCompose(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return failed(new ReservationResult.Unavailable("platform out of reach"));
              }
              Optional<Row> own = TableReads.find(rows, ownKey);
              if (own.isPresent()) {
                freeTokens.put(budget, Json.read(own.get().value(), AllotmentRow.class).drawn());
                return CompletableFuture.completedFuture(Optional.empty());
              }
              Optional<Row> row = TableReads.find(rows, budgetKey);
              if (row.isEmpty()) {
                return failed(new ReservationResult.UnknownBudget());
              }
              BudgetRow b = Json.read(row.get().value(), BudgetRow.class);
              if (!b.account().equals(account)) {
                return failed(new ReservationResult.UnknownBudget());
              }
              return writeShare(account, budget, row.get(), b);
            });
  }

  private CompletableFuture<Optional<ReservationResult>> writeShare(
      String account, String budget, Row row, BudgetRow b) {
    long share = Math.min(b.granted() / shares, b.undrawn());
    String own = Json.write(new AllotmentRow(share, 0, false));
    return table
        .transact(
            List.of(
                Mutation.replace(row.key(), row.version(), Json.write(b.withDrawn(share))),
                Mutation.insert(TableKeys.allotment(incarnation, budget), own)))
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed) {
                freeTokens.put(budget, share);
                return CompletableFuture.completedFuture(Optional.empty());
              }
              if (result instanceof WriteResult.Conflict) {
                return drawShare(account, budget);
              }
              return failed(new ReservationResult.Unavailable("platform out of reach"));
            });
  }

  private static CompletableFuture<Optional<ReservationResult>> failed(ReservationResult result) {
    return CompletableFuture.completedFuture(Optional.of(result));
  }

  @Override
  public void trim(Reservation reservation, long tokens) {
    Long held = openReservations.get(reservation.id());
    if (held != null && tokens < held) {
      openReservations.put(reservation.id(), tokens);
      freeTokens.merge(reservation.budget(), held - tokens, Long::sum);
    }
  }

  @Override
  public void close(Reservation reservation, long tokens) {
    Long held = openReservations.remove(reservation.id());
    if (held != null) {
      freeTokens.merge(reservation.budget(), held - tokens, Long::sum);
    }
  }
}
