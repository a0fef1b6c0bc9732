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
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Baseline policy in which each reservation is one conditional write of the budget row. The tokens
 * that settled reservations did not use are returned in the write of the next reservation of the
 * same daemon, without an extra write.
 */
final class CentralCheck implements BudgetReservations {

  private static final AllotmentRow EMPTY_ALLOTMENT = new AllotmentRow(0, 0, false);

  /**
   * Last known rows of one budget, and the tokens of it that this daemon has reserved or billed.
   */
  private static final class BudgetState {
    private Optional<Row> budgetRow = Optional.empty();
    private Optional<Row> allotmentRow = Optional.empty();
    private long neededTokens;
    private CompletableFuture<Void> lastOperation = CompletableFuture.completedFuture(null);
  }

  private record Request(RequestKey key, String budget, long tokens, long deadlineMillis) {}

  private final Scheduler scheduler;
  private final TableService table;
  private final String incarnation;
  private final Map<String, BudgetState> budgetStates = new HashMap<>();
  private final Map<String, Long> openReservations = new HashMap<>();
  private long nextReservation;

  /**
   * Creates the reservations of one daemon.
   *
   * @param scheduler event loop of the daemon
   * @param table table service of the platform
   * @param incarnation incarnation of the daemon
   */
  CentralCheck(Scheduler scheduler, TableService table, String incarnation) {
    this.scheduler = scheduler;
    this.table = table;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    BudgetState state = budgetStates.computeIfAbsent(budget, b -> new BudgetState());
    Request r = new Request(key, budget, tokens, scheduler.nowMillis() + waitMillis);
    CompletableFuture<ReservationResult> f =
        state.lastOperation.thenCompose(
            done ->
                state.budgetRow.isEmpty()
                    ? readAndReserve(state, r)
                    : writeReservation(state, r, false));
    state.lastOperation = f.thenAccept(done -> {});
    return f;
  }

  private CompletableFuture<ReservationResult> readAndReserve(BudgetState state, Request r) {
    if (scheduler.nowMillis() >= r.deadlineMillis()) {
      return completed(new ReservationResult.Unavailable("platform out of reach"));
    }
    String budgetKey = TableKeys.budget(r.budget());
    String ownKey = TableKeys.allotment(incarnation, r.budget());
    return table
        .read(List.of(budgetKey, ownKey))
        .thenCompose(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return completed(new ReservationResult.Unavailable("platform out of reach"));
              }
              state.budgetRow = TableReads.find(rows, budgetKey);
              state.allotmentRow = TableReads.find(rows, ownKey);
              return state.budgetRow.isEmpty()
                  ? completed(new ReservationResult.UnknownBudget())
                  : writeReservation(state, r, true);
            });
  }

  private CompletableFuture<ReservationResult> writeReservation(
      BudgetState state, Request r, boolean isFresh) {
    BudgetRow b = Json.read(state.budgetRow.orElseThrow().value(), BudgetRow.class);
    if (!b.account().equals(r.key().account())) {
      return completed(new ReservationResult.UnknownBudget());
    }
    AllotmentRow own =
        state
            .allotmentRow
            .map(row -> Json.read(row.value(), AllotmentRow.class))
            .orElse(EMPTY_ALLOTMENT);
    long more = state.neededTokens + r.tokens() - (own.drawn() - own.returned());
    if (more > b.undrawn()) {
      return isFresh
          ? completed(new ReservationResult.Exhausted(b.undrawn()))
          : readAndReserve(state, r);
    }
    AllotmentRow next =
        new AllotmentRow(
            own.drawn() + Math.max(0, more), own.returned() + Math.max(0, -more), false);
    String budgetValue = Json.write(b.withDrawn(more));
    String ownValue = Json.write(next);
    return table
        .transact(
            List.of(
                replace(TableKeys.budget(r.budget()), state.budgetRow, budgetValue),
                replace(
                    TableKeys.allotment(incarnation, r.budget()), state.allotmentRow, ownValue)))
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed c) {
                state.budgetRow = Optional.of(row(TableKeys.budget(r.budget()), c, 0, budgetValue));
                state.allotmentRow =
                    Optional.of(row(TableKeys.allotment(incarnation, r.budget()), c, 1, ownValue));
                return completed(grant(state, r));
              }
              state.budgetRow = Optional.empty();
              return result instanceof WriteResult.Conflict
                  ? readAndReserve(state, r)
                  : completed(new ReservationResult.Unavailable("platform out of reach"));
            });
  }

  private static Mutation replace(String key, Optional<Row> present, String value) {
    return Mutation.replace(key, present.map(Row::version).orElse(0L), value);
  }

  private static Row row(String key, WriteResult.Committed c, int index, String value) {
    return new Row(key, c.versions().get(index), value);
  }

  private ReservationResult grant(BudgetState state, Request r) {
    state.neededTokens += r.tokens();
    Reservation granted =
        new Reservation(
            incarnation + "/c" + nextReservation++, r.budget(), incarnation, r.tokens());
    openReservations.put(granted.id(), r.tokens());
    return new ReservationResult.Granted(granted);
  }

  private static CompletableFuture<ReservationResult> completed(ReservationResult result) {
    return CompletableFuture.completedFuture(result);
  }

  @Override
  public void trim(Reservation reservation, long tokens) {
    Long held = openReservations.get(reservation.id());
    if (held != null && tokens < held) {
      openReservations.put(reservation.id(), tokens);
      budgetStates.get(reservation.budget()).neededTokens -= held - tokens;
    }
  }

  @Override
  public void close(Reservation reservation, long tokens) {
    Long held = openReservations.remove(reservation.id());
    if (held != null) {
      budgetStates.get(reservation.budget()).neededTokens -= held - tokens;
    }
  }
}
