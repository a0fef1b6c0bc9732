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
 * Baseline: a daemon draws an equal share of each budget at its first use and never moves it. The
 * shares of the daemons of a failure domain add up to an equal share of the domain.
 */
final class StaticSplit implements BudgetReservations {

  private final TableService table;
  private final String incarnation;
  private final long shares;
  private final Map<String, Long> free = new HashMap<>();
  private final Map<String, CompletableFuture<Optional<ReservationResult>>> draws = new HashMap<>();
  private final Map<String, Long> open = new HashMap<>();
  private long nextReservation;

  /**
   * Creates the reservations of one daemon.
   *
   * @param table the platform
   * @param incarnation the daemon
   * @param shares number of failure domains times the number of daemons in the own one
   */
  StaticSplit(TableService table, String incarnation, long shares) {
    this.table = table;
    this.incarnation = incarnation;
    this.shares = shares;
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    if (free.containsKey(budget)) {
      return CompletableFuture.completedFuture(take(budget, tokens));
    }
    CompletableFuture<Optional<ReservationResult>> draw = draws.get(budget);
    if (draw == null) {
      draw = draw(key.account(), budget);
      draws.put(budget, draw);
      var unused = draw.thenRun(() -> draws.remove(budget));
    }
    return draw.thenApply(failure -> failure.orElseGet(() -> take(budget, tokens)));
  }

  private ReservationResult take(String budget, long tokens) {
    long left = free.get(budget);
    if (left < tokens) {
      return new ReservationResult.Exhausted(left);
    }
    free.put(budget, left - tokens);
    Reservation r =
        new Reservation(incarnation + "/s" + nextReservation++, budget, incarnation, tokens);
    open.put(r.id(), tokens);
    return new ReservationResult.Granted(r);
  }

  /** Draws the share of a budget; the result is a failure, or empty once the share is held. */
  private CompletableFuture<Optional<ReservationResult>> draw(String account, String budget) {
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
                free.put(budget, Json.read(own.get().value(), AllotmentRow.class).drawn());
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
              return write(account, budget, row.get(), b);
            });
  }

  private CompletableFuture<Optional<ReservationResult>> write(
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
                free.put(budget, share);
                return CompletableFuture.completedFuture(Optional.empty());
              }
              if (result instanceof WriteResult.Conflict) {
                return draw(account, budget);
              }
              return failed(new ReservationResult.Unavailable("platform out of reach"));
            });
  }

  private static CompletableFuture<Optional<ReservationResult>> failed(ReservationResult result) {
    return CompletableFuture.completedFuture(Optional.of(result));
  }

  @Override
  public void trim(Reservation reservation, long tokens) {
    Long held = open.get(reservation.id());
    if (held != null && tokens < held) {
      open.put(reservation.id(), tokens);
      free.merge(reservation.budget(), held - tokens, Long::sum);
    }
  }

  @Override
  public void close(Reservation reservation, long tokens) {
    Long held = open.remove(reservation.id());
    if (held != null) {
      free.merge(reservation.budget(), held - tokens, Long::sum);
    }
  }
}
