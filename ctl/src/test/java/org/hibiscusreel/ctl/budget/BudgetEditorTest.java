package org.hibiscusreel.ctl.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.junit.jupiter.api.Test;

class BudgetEditorTest {

  /** A budget row must not exceed the 64 KiB limit of the table service. */
  @Test
  void mergesOldestTopUpsAndKeepsSum() {
    SingleRowTable table = new SingleRowTable();
    BudgetEditor editor = new BudgetEditor(table, table);
    editor.create("main", "lab", 1, AllotmentPolicy.BALANCED, "id".repeat(40) + 0).join();
    for (int i = 1; i < 1_000; i++) {
      editor.topUp("main", 1, "id".repeat(40) + i).join();
    }

    BudgetRow row = Json.read(table.row.value(), BudgetRow.class);
    assertThat(row.granted()).isEqualTo(1_000);
    assertThat(row.topUps().stream().mapToLong(TopUp::tokens).sum()).isEqualTo(1_000);
    assertThat(row.topUps()).hasSize(BudgetEditor.MAX_TOP_UPS);
    assertThat(row.topUps().get(0).id()).isEqualTo(BudgetEditor.MERGED_TOP_UPS_ID);
    assertThat(table.row.value().length()).isLessThan(64 * 1024);
  }

  /** A write whose response was lost must not be reported as certain. */
  @Test
  void reportsUnknownWhenPlatformStaysUnavailable() {
    SingleRowTable table = new SingleRowTable();
    table.loseWrites = true;

    assertThat(
            new BudgetEditor(table, table)
                .create("main", "lab", 1, AllotmentPolicy.OPEN, "a")
                .join())
        .isInstanceOf(BudgetResult.Unknown.class);
  }

  /** Table service with a single in-memory row; delayed tasks run immediately. */
  private static final class SingleRowTable implements TableService, Scheduler {

    private Row row = new Row("budget/main", 0, "");
    private boolean loseWrites;

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      if (loseWrites) {
        return CompletableFuture.completedFuture(new WriteResult.Unknown("lost"));
      }
      Mutation.Change.Put put = (Mutation.Change.Put) mutations.get(0).change();
      row = new Row(row.key(), row.version() + 1, put.value());
      return CompletableFuture.completedFuture(new WriteResult.Committed(List.of(row.version())));
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return CompletableFuture.completedFuture(
          new ReadResult.Rows(row.version() == 0 ? List.of() : List.of(row), false));
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public long nowMillis() {
      return 0;
    }

    @Override
    public long wallMillis() {
      return 0;
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
      task.run();
      return () -> {};
    }
  }
}
