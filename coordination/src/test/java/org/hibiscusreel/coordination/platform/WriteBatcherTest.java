package org.hibiscusreel.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.junit.jupiter.api.Test;

class WriteBatcherTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final WriteBatcher batcher = new WriteBatcher(scheduler, table, 20);

  /** Guards against a conflict on one budget that blocks the draws on all others. */
  @Test
  void retriesOtherTransactionsAfterConflict() {
    table.put("busy", 1);
    final CompletableFuture<WriteResult> busy =
        batcher.submit(List.of(Mutation.insert("busy", "2")));
    final CompletableFuture<WriteResult> free =
        batcher.submit(List.of(Mutation.insert("free", "1"), Mutation.insert("free2", "1")));
    scheduler.run(100);
    assertThat(busy.join())
        .isInstanceOfSatisfying(WriteResult.Conflict.class, c -> assertThat(c.rows()).hasSize(1));
    assertThat(free.join()).isEqualTo(new WriteResult.Committed(List.of(1L, 1L)));
    assertThat(table.writes).isEqualTo(2);
  }

  /** Guards against two changes of one row in a transaction, which the platform refuses. */
  @Test
  void separatesChangesOfTheSameRow() {
    CompletableFuture<WriteResult> first = batcher.submit(List.of(Mutation.put("k", "1")));
    CompletableFuture<WriteResult> second = batcher.submit(List.of(Mutation.put("k", "2")));
    scheduler.run(100);
    assertThat(first.join()).isEqualTo(new WriteResult.Committed(List.of(1L)));
    assertThat(second.join()).isEqualTo(new WriteResult.Committed(List.of(2L)));
  }
}
