package org.hibiscusreel.ctl.budget;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Lean;
import org.hibiscusreel.core.budget.TopUp;

/**
 * Changes budget rows by conditional write. A change that is repeated with the same identifier
 * takes effect once.
 */
public final class BudgetEditor {

  /** Identifier of the entry that sums the oldest top-ups. */
  public static final String EARLIER_TOP_UPS = "earlier-top-ups";

  /** Number of top-ups kept one by one; more of them could exceed the 64 KiB of a row. */
  static final int MAX_TOP_UPS = 400;

  private static final int MAX_ATTEMPTS = 20;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final Scheduler scheduler;
  private final TableService table;

  /**
   * Creates an editor.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @throws NullPointerException if an argument is null
   */
  public BudgetEditor(Scheduler scheduler, TableService table) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
  }

  private sealed interface Decision {
    record Write(BudgetRow row) implements Decision {}

    record Keep(BudgetRow row) implements Decision {}

    record Refuse(String reason) implements Decision {}
  }

  /**
   * Creates a budget with a first top-up.
   *
   * @param budget identifier of the budget
   * @param account client account that owns it
   * @param tokens tokens granted, positive
   * @param lean how allotments are sized
   * @param id identifier of the top-up
   * @return done without a change if the budget already has this top-up, refused if the budget
   *     exists otherwise
   */
  public CompletableFuture<BudgetResult> create(
      String budget, String account, long tokens, Lean lean, String id) {
    requirePositive(tokens);
    return edit(
        budget,
        found -> {
          if (found.isEmpty()) {
            TopUp first = new TopUp(id, tokens, scheduler.wallMillis());
            return new Decision.Write(new BudgetRow(account, tokens, 0, lean, List.of(first)));
          }
          BudgetRow row = found.get();
          if (row.account().equals(account) && has(row, id, tokens)) {
            return new Decision.Keep(row);
          }
          return new Decision.Refuse(
              "the budget " + budget + " exists and belongs to " + row.account());
        });
  }

  /**
   * Adds tokens to a budget.
   *
   * @param budget identifier of the budget
   * @param tokens tokens to add, positive
   * @param id identifier of the top-up
   * @return done without a change if the budget already has this top-up, refused if the budget does
   *     not exist or the identifier stands for another amount
   */
  public CompletableFuture<BudgetResult> topUp(String budget, long tokens, String id) {
    requirePositive(tokens);
    return edit(
        budget, found -> found.map(row -> add(row, tokens, id)).orElseGet(() -> missing(budget)));
  }

  /**
   * Changes how allotments of a budget are sized.
   *
   * @param budget identifier of the budget
   * @param lean the wanted value
   * @return done, or refused if the budget does not exist
   */
  public CompletableFuture<BudgetResult> setLean(String budget, Lean lean) {
    Objects.requireNonNull(lean, "lean");
    return edit(
        budget,
        found ->
            found
                .<Decision>map(
                    row ->
                        row.lean() == lean
                            ? new Decision.Keep(row)
                            : new Decision.Write(
                                new BudgetRow(
                                    row.account(), row.granted(), row.drawn(), lean, row.topUps())))
                .orElseGet(() -> missing(budget)));
  }

  /**
   * Reads a budget.
   *
   * @param budget identifier of the budget
   * @return done with the row, or refused if the budget does not exist
   */
  public CompletableFuture<BudgetResult> balance(String budget) {
    return edit(
        budget, found -> found.<Decision>map(Decision.Keep::new).orElseGet(() -> missing(budget)));
  }

  private Decision add(BudgetRow row, long tokens, String id) {
    for (TopUp topUp : row.topUps()) {
      if (topUp.id().equals(id)) {
        return topUp.tokens() == tokens
            ? new Decision.Keep(row)
            : new Decision.Refuse(
                "the top-up " + id + " exists with " + topUp.tokens() + " tokens");
      }
    }
    if (tokens > Long.MAX_VALUE - row.granted()) {
      return new Decision.Refuse("the granted amount would exceed " + Long.MAX_VALUE);
    }
    List<TopUp> topUps = new ArrayList<>(row.topUps());
    topUps.add(new TopUp(id, tokens, scheduler.wallMillis()));
    return new Decision.Write(
        new BudgetRow(
            row.account(), row.granted() + tokens, row.drawn(), row.lean(), fold(topUps)));
  }

  /** Sums the two oldest entries if there are too many. */
  private static List<TopUp> fold(List<TopUp> topUps) {
    if (topUps.size() <= MAX_TOP_UPS) {
      return topUps;
    }
    TopUp first = topUps.remove(0);
    TopUp second = topUps.remove(0);
    topUps.add(0, new TopUp(EARLIER_TOP_UPS, first.tokens() + second.tokens(), second.atMillis()));
    return topUps;
  }

  private static boolean has(BudgetRow row, String id, long tokens) {
    return row.topUps().stream().anyMatch(t -> t.id().equals(id) && t.tokens() == tokens);
  }

  private static Decision missing(String budget) {
    return new Decision.Refuse("the budget " + budget + " does not exist");
  }

  private static void requirePositive(long tokens) {
    if (tokens <= 0) {
      throw new IllegalArgumentException("tokens must be positive but is " + tokens);
    }
  }

  private CompletableFuture<BudgetResult> edit(
      String budget, Function<Optional<BudgetRow>, Decision> decide) {
    return attempt(TableKeys.budget(budget), decide, 1, false);
  }

  /**
   * Reads, decides and writes on the version read. A lost answer needs no special case: the next
   * round finds either the change itself or the same version, on which only one write can succeed.
   */
  private CompletableFuture<BudgetResult> attempt(
      String key,
      Function<Optional<BudgetRow>, Decision> decide,
      int attempt,
      boolean maybeApplied) {
    return table
        .read(List.of(key))
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Failed failed) {
                return completed(failed(maybeApplied, failed.reason()));
              }
              List<Row> rows = ((ReadResult.Rows) result).rows();
              Row row = rows.isEmpty() ? new Row(key, 0, "") : rows.get(0);
              Decision decision;
              try {
                decision = decide.apply(parse(row));
              } catch (UncheckedIOException e) {
                return completed(new BudgetResult.Refused("the row " + key + " is malformed"));
              }
              if (decision instanceof Decision.Keep keep) {
                return completed(new BudgetResult.Done(keep.row(), maybeApplied));
              }
              if (decision instanceof Decision.Refuse refuse) {
                return completed(new BudgetResult.Refused(refuse.reason()));
              }
              BudgetRow next = ((Decision.Write) decision).row();
              return table
                  .transact(List.of(Mutation.replace(key, row.version(), Json.write(next))))
                  .thenCompose(w -> onWritten(w, key, decide, next, attempt, maybeApplied));
            });
  }

  private CompletableFuture<BudgetResult> onWritten(
      WriteResult result,
      String key,
      Function<Optional<BudgetRow>, Decision> decide,
      BudgetRow next,
      int attempt,
      boolean maybeApplied) {
    if (result instanceof WriteResult.Committed) {
      return completed(new BudgetResult.Done(next, true));
    }
    boolean maybe = maybeApplied || result instanceof WriteResult.Unknown;
    if (attempt >= MAX_ATTEMPTS) {
      return completed(failed(maybe, "the row " + key + " could not be written: " + result));
    }
    CompletableFuture<Void> delay = new CompletableFuture<>();
    scheduler.schedule(RETRY_DELAY_MILLIS, () -> delay.complete(null));
    return delay.thenCompose(done -> attempt(key, decide, attempt + 1, maybe));
  }

  private static Optional<BudgetRow> parse(Row row) {
    return row.version() == 0
        ? Optional.empty()
        : Optional.of(Json.read(row.value(), BudgetRow.class));
  }

  private static BudgetResult failed(boolean maybeApplied, String reason) {
    return maybeApplied ? new BudgetResult.Unknown(reason) : new BudgetResult.Unavailable(reason);
  }

  private static CompletableFuture<BudgetResult> completed(BudgetResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
