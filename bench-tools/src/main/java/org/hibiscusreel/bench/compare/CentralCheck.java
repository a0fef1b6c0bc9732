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
 * Baseline: each reservation is one conditional write of the budget row. What settled reservations
 * did not use goes back with the next reservation of the same daemon, which costs no extra write.
 */
final class CentralCheck implements BudgetReservations {

  private static final AllotmentRow NOTHING = new AllotmentRow(0, 0, false);

  /** Rows of one budget as last seen, and the tokens that this daemon needs of it. */
  private static final class State {
    private Optional<Row> budget = Optional.empty();
    private Optional<Row> own = Optional.empty();
    private long needed;
    private CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
  }

  private record Request(RequestKey key, String budget, long tokens, long until) {}

  private final Scheduler scheduler;
  private final TableService table;
  private final String incarnation;
  private final Map<String, State> states = new HashMap<>();
  private final Map<String, Long> open = new HashMap<>();
  private long nextReservation;

  /**
   * Creates the reservations of one daemon.
   *
   * @param scheduler its event loop
   * @param table the platform
   * @param incarnation the daemon
   */
  CentralCheck(Scheduler scheduler, TableService table, String incarnation) {
    this.scheduler = scheduler;
    this.table = table;
    this.incarnation = incarnation;
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    State s = states.computeIfAbsent(budget, b -> new State());
    Request r = new Request(key, budget, tokens, scheduler.nowMillis() + waitMillis);
    CompletableFuture<ReservationResult> f =
        s.last.thenCompose(done -> s.budget.isEmpty() ? read(s, r) : write(s, r, false));
    s.last = f.thenAccept(done -> {});
    return f;
  }

  private CompletableFuture<ReservationResult> read(State s, Request r) {
    if (scheduler.nowMillis() >= r.until()) {
      return done(new ReservationResult.Unavailable("platform out of reach"));
    }
    String budgetKey = TableKeys.budget(r.budget());
    String ownKey = TableKeys.allotment(incarnation, r.budget());
    return table
        .read(List.of(budgetKey, ownKey))
        .thenCompose(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return done(new ReservationResult.Unavailable("platform out of reach"));
              }
              s.budget = TableReads.find(rows, budgetKey);
              s.own = TableReads.find(rows, ownKey);
              return s.budget.isEmpty()
                  ? done(new ReservationResult.UnknownBudget())
                  : write(s, r, true);
            });
  }

  private CompletableFuture<ReservationResult> write(State s, Request r, boolean isFresh) {
    BudgetRow b = Json.read(s.budget.orElseThrow().value(), BudgetRow.class);
    if (!b.account().equals(r.key().account())) {
      return done(new ReservationResult.UnknownBudget());
    }
    AllotmentRow own = s.own.map(row -> Json.read(row.value(), AllotmentRow.class)).orElse(NOTHING);
    long more = s.needed + r.tokens() - (own.drawn() - own.returned());
    if (more > b.undrawn()) {
      return isFresh ? done(new ReservationResult.Exhausted(b.undrawn())) : read(s, r);
    }
    AllotmentRow next =
        new AllotmentRow(
            own.drawn() + Math.max(0, more), own.returned() + Math.max(0, -more), false);
    String budgetValue = Json.write(b.withDrawn(more));
    String ownValue = Json.write(next);
    return table
        .transact(
            List.of(
                replace(TableKeys.budget(r.budget()), s.budget, budgetValue),
                replace(TableKeys.allotment(incarnation, r.budget()), s.own, ownValue)))
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed c) {
                s.budget = Optional.of(row(TableKeys.budget(r.budget()), c, 0, budgetValue));
                s.own =
                    Optional.of(row(TableKeys.allotment(incarnation, r.budget()), c, 1, ownValue));
                return done(grant(s, r));
              }
              s.budget = Optional.empty();
              return result instanceof WriteResult.Conflict
                  ? read(s, r)
                  : done(new ReservationResult.Unavailable("platform out of reach"));
            });
  }

  private static Mutation replace(String key, Optional<Row> present, String value) {
    return Mutation.replace(key, present.map(Row::version).orElse(0L), value);
  }

  private static Row row(String key, WriteResult.Committed c, int index, String value) {
    return new Row(key, c.versions().get(index), value);
  }

  private ReservationResult grant(State s, Request r) {
    s.needed += r.tokens();
    Reservation granted =
        new Reservation(
            incarnation + "/c" + nextReservation++, r.budget(), incarnation, r.tokens());
    open.put(granted.id(), r.tokens());
    return new ReservationResult.Granted(granted);
  }

  private static CompletableFuture<ReservationResult> done(ReservationResult result) {
    return CompletableFuture.completedFuture(result);
  }

  @Override
  public void trim(Reservation reservation, long tokens) {
    Long held = open.get(reservation.id());
    if (held != null && tokens < held) {
      open.put(reservation.id(), tokens);
      states.get(reservation.budget()).needed -= held - tokens;
    }
  }

  @Override
  public void close(Reservation reservation, long tokens) {
    Long held = open.remove(reservation.id());
    if (held != null) {
      states.get(reservation.budget()).needed -= held - tokens;
    }
  }
}
