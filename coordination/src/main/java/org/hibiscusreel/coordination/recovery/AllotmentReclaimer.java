package org.hibiscusreel.coordination.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.ledger.SpentRow;
import org.hibiscusreel.core.recovery.Reclamation;

/**
 * Returns the tokens that a dead holder had drawn and not spent to their budgets. The caller checks
 * that this is allowed.
 */
public final class AllotmentReclaimer {

  private record Reads(Optional<List<Row>> spent, ReadResult budget) {}

  private final TableService table;
  private final EventRecorder events;

  /**
   * Creates a reclaimer.
   *
   * @param table the platform
   * @param events recorder of the event timeline
   */
  public AllotmentReclaimer(TableService table, EventRecorder events) {
    this.table = Objects.requireNonNull(table, "table");
    this.events = Objects.requireNonNull(events, "events");
  }

  /**
   * Reclaims all allotments of a holder.
   *
   * @param holder incarnation whose allotments are reclaimed
   * @return true if all allotments of the holder are closed
   */
  public CompletableFuture<Boolean> reclaim(String holder) {
    return TableReads.scanAll(table, TableKeys.allotments(holder))
        .thenCompose(
            rows -> {
              if (rows.isEmpty()) {
                return CompletableFuture.completedFuture(false);
              }
              List<Row> open = rows.get().stream().filter(AllotmentReclaimer::isOpen).toList();
              List<Row> failed = new ArrayList<>();
              return FutureCallbacks.forEachSequentially(
                      open, row -> reclaimRow(holder, row, failed))
                  .thenApply(done -> failed.isEmpty());
            });
  }

  private static boolean isOpen(Row row) {
    return !Json.read(row.value(), AllotmentRow.class).closed();
  }

  private CompletableFuture<Void> reclaimRow(String holder, Row row, List<Row> failed) {
    String budget = TableKeys.lastPart(row.key());
    return TableReads.scanAll(table, TableKeys.spentOf(holder, budget))
        .thenCombine(table.read(List.of(TableKeys.budget(budget))), Reads::new)
        .thenCompose(reads -> write(budget, row, reads))
        .thenAccept(
            isWritten -> {
              if (!isWritten) {
                failed.add(row);
              }
            });
  }

  private CompletableFuture<Boolean> write(String budget, Row row, Reads reads) {
    if (reads.spent().isEmpty() || !(reads.budget() instanceof ReadResult.Rows rows)) {
      return CompletableFuture.completedFuture(false);
    }
    long spent =
        reads.spent().get().stream()
            .mapToLong(r -> Json.read(r.value(), SpentRow.class).tokens())
            .sum();
    AllotmentRow present = Json.read(row.value(), AllotmentRow.class);
    AllotmentRow next = Reclamation.reclaim(present, spent);
    long tokens = next.returned() - present.returned();
    List<Mutation> mutations = new ArrayList<>();
    mutations.add(Mutation.replace(row.key(), row.version(), Json.write(next)));
    for (Row b : rows.rows()) {
      BudgetRow value = Json.read(b.value(), BudgetRow.class).withDrawn(-tokens);
      mutations.add(Mutation.replace(b.key(), b.version(), Json.write(value)));
    }
    return table
        .transact(mutations)
        .thenApply(
            result -> {
              boolean isWritten = result instanceof WriteResult.Committed;
              if (isWritten) {
                String detail = "allotment=" + row.key() + " tokens=" + tokens + " spent=" + spent;
                events.recordBudget("allotment_reclaimed", budget, detail);
              }
              return isWritten;
            });
  }
}
