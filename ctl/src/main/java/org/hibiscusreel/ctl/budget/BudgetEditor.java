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
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;

/**
 * Changes budget rows by conditional writes. Repeating a top-up with the same identifier has no
 * further effect.
 */
public final class BudgetEditor {

  /** Identifier of the entry that holds the sum of the oldest top-ups. */
  public static final String MERGED_TOP_UPS_ID = "earlier-top-ups";

  /** Maximum number of top-ups stored individually; more could exceed the 64 KiB limit of a row. */
  static final int MAX_TOP_UPS = 400;

  private static final int MAX_ATTEMPTS = 20;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final Scheduler scheduler;
  private final TableService table;

  /**
   * Creates an editor.
   *
   * @param scheduler clock and timer
   * @param table the platform's table service
   * @throws NullPointerException if an argument is null
   */
  public BudgetEditor(Scheduler scheduler, TableService table) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
  }

  private sealed interface Decision {
    record Write(BudgetRow row) implements Decision {}

    record NoChange(BudgetRow row) implements Decision {}

    record Reject(String reason) implements Decision {}
  }

  /**
   * Creates a budget with a first top-up.
   *
   * @param budget identifier of the budget
   * @param account client account that owns it
   * @param tokens number of tokens granted, positive
   * @param lean policy for sizing allotments
   * @param id identifier of the top-up
   * @return success without a change if the budget already has this top-up, refused if the budget
   *     exists with another owner or without this top-up
   */
  public CompletableFuture<BudgetResult> create(
      String budget, String account, long tokens, AllotmentPolicy lean, String id) {
    requirePositive(tokens);
    return update(
        budget,
        current -> {
          if (current.isEmpty()) {
            TopUp first = new TopUp(id, tokens, scheduler.wallMillis());
            return new Decision.Write(new BudgetRow(account, tokens, 0, lean, List.of(first)));
          }
          BudgetRow row = current.get();
          if (row.account().equals(account) && hasTopUp(row, id, tokens)) {
            return new Decision.NoChange(row);
          }
          return new Decision.Reject(
              "the budget "
                  + budget
                  + " already exists and belongs to client account "
                  + row.account());
        });
  }

  /**
   * Adds tokens to a budget.
   *
   * @param budget identifier of the budget
   * @param tokens number of tokens to add, positive
   * @param id identifier of the top-up
   * @return success without a change if the budget already has this top-up, refused if the budget
   *     does not exist or the identifier was used with another amount
   */
  public CompletableFuture<BudgetResult> topUp(String budget, long tokens, String id) {
    requirePositive(tokens);
    return update(
        budget,
        current ->
            current.map(row -> addTopUp(row, tokens, id)).orElseGet(() -> rejectMissing(budget)));
  }

  /**
   * Changes the policy for sizing the allotments of a budget.
   *
   * @param budget identifier of the budget
   * @param lean the new policy
   * @return success, or refused if the budget does not exist
   */
  public CompletableFuture<BudgetResult> setLean(String budget, AllotmentPolicy lean) {
    Objects.requireNonNull(lean, "lean");
    return update(
        budget,
        current ->
            current
                .<Decision>map(
                    row ->
                        row.lean() == lean
                            ? new Decision.NoChange(row)
                            : new Decision.Write(
                                new BudgetRow(
                                    row.account(), row.granted(), row.drawn(), lean, row.topUps())))
                .orElseGet(() -> rejectMissing(budget)));
  }

  /**
   * Reads a budget.
   *
   * @param budget identifier of the budget
   * @return success with the row, or refused if the budget does not exist
   */
  public CompletableFuture<BudgetResult> balance(String budget) {
    return update(
        budget,
        current ->
            current.<Decision>map(Decision.NoChange::new).orElseGet(() -> rejectMissing(budget)));
  }

  private Decision addTopUp(BudgetRow row, long tokens, String id) {
    for (TopUp topUp : row.topUps()) {
      if (topUp.id().equals(id)) {
        return topUp.tokens() == tokens
            ? new Decision.NoChange(row)
            : new Decision.Reject(
                "the top-up " + id + " already exists with " + topUp.tokens() + " tokens");
      }
    }
    if (tokens > Long.MAX_VALUE - row.granted()) {
      return new Decision.Reject("the granted tokens would exceed " + Long.MAX_VALUE);
    }
    List<TopUp> topUps = new ArrayList<>(row.topUps());
    topUps.add(new TopUp(id, tokens, scheduler.wallMillis()));
    return new Decision.Write(
        new BudgetRow(
            row.account(),
            row.granted() + tokens,
            row.drawn(),
            row.lean(),
            mergeOldestTopUps(topUps)));
  }

  /** Replaces the two oldest entries by their sum if there are more than {@link #MAX_TOP_UPS}. */
  private static List<TopUp> mergeOldestTopUps(List<TopUp> topUps) {
    if (topUps.size() <= MAX_TOP_UPS) {
      return topUps;
    }
    TopUp first = topUps.remove(0);
    TopUp second = topUps.remove(0);
    topUps.add(
        0, new TopUp(MERGED_TOP_UPS_ID, first.tokens() + second.tokens(), second.atMillis()));
    return topUps;
  }

  private static boolean hasTopUp(BudgetRow row, String id, long tokens) {
    return row.topUps().stream()
        .anyMatch(topUp -> topUp.id().equals(id) && topUp.tokens() == tokens);
  }

  private static Decision rejectMissing(String budget) {
    return new Decision.Reject("the budget " + budget + " does not exist");
  }

  private static void requirePositive(long tokens) {
    if (tokens <= 0) {
      throw new IllegalArgumentException("tokens must be positive but was " + tokens);
    }
  }

  private CompletableFuture<BudgetResult> update(
      String budget, Function<Optional<BudgetRow>, Decision> decide) {
    return tryUpdate(TableKeys.budget(budget), decide, 1, false);
  }

  /**
   * Reads the row, applies the decision and writes on condition that the version is unchanged. A
   * lost response needs no special handling: the next attempt finds either the change itself or the
   * same version, and only one write on a version can succeed.
   */
  private CompletableFuture<BudgetResult> tryUpdate(
      String key,
      Function<Optional<BudgetRow>, Decision> decide,
      int attempt,
      boolean possiblyApplied) {
    return table
        .read(List.of(key))
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Failed failed) {
                return completed(failed(possiblyApplied, failed.reason()));
              }
              List<Row> rows = ((ReadResult.Rows) result).rows();
              Row row = rows.isEmpty() ? new Row(key, 0, "") : rows.get(0);
              Decision decision;
              try {
                decision = decide.apply(parse(row));
              } catch (UncheckedIOException e) {
                return completed(new BudgetResult.Refused("the row " + key + " is malformed"));
              }
              if (decision instanceof Decision.NoChange noChange) {
                return completed(new BudgetResult.Success(noChange.row(), possiblyApplied));
              }
              if (decision instanceof Decision.Reject rejection) {
                return completed(new BudgetResult.Refused(rejection.reason()));
              }
              BudgetRow next = ((Decision.Write) decision).row();
              return table
                  .transact(List.of(Mutation.replace(key, row.version(), Json.write(next))))
                  .thenCompose(
                      written ->
                          handleWriteResult(written, key, decide, next, attempt, possiblyApplied));
            });
  }

  private CompletableFuture<BudgetResult> handleWriteResult(
      WriteResult result,
      String key,
      Function<Optional<BudgetRow>, Decision> decide,
      BudgetRow next,
      int attempt,
      boolean possiblyApplied) {
    if (result instanceof WriteResult.Committed) {
      return completed(new BudgetResult.Success(next, true));
    }
    boolean nowPossiblyApplied = possiblyApplied || result instanceof WriteResult.Unknown;
    if (attempt >= MAX_ATTEMPTS) {
      return completed(
          failed(nowPossiblyApplied, "the row " + key + " could not be written: " + result));
    }
    CompletableFuture<Void> delay = new CompletableFuture<>();
    scheduler.schedule(RETRY_DELAY_MILLIS, () -> delay.complete(null));
    return delay.thenCompose(done -> tryUpdate(key, decide, attempt + 1, nowPossiblyApplied));
  }

  private static Optional<BudgetRow> parse(Row row) {
    return row.version() == 0
        ? Optional.empty()
        : Optional.of(Json.read(row.value(), BudgetRow.class));
  }

  private static BudgetResult failed(boolean possiblyApplied, String reason) {
    return possiblyApplied
        ? new BudgetResult.Unknown(reason)
        : new BudgetResult.Unavailable(reason);
  }

  private static CompletableFuture<BudgetResult> completed(BudgetResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
