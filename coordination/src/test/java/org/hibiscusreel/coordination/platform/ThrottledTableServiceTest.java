package org.hibiscusreel.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.junit.jupiter.api.Test;

class ThrottledTableServiceTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final ThrottledTableService throttled =
      new ThrottledTableService(scheduler, table, new Random(3)::nextLong, 100, 100);

  private CompletableFuture<WriteResult> write(String key) {
    return throttled.transact(List.of(Mutation.put(key, "{}")));
  }

  /** Guards against a daemon that exceeds its rate limit. */
  @Test
  void limitsWritesPerSecond() {
    for (int i = 0; i < 20; i++) {
      for (int j = 0; j < 10; j++) {
        var unused = write("k" + i + "." + j);
      }
      scheduler.run(50);
    }
    assertThat(table.writes).isBetween(90, 115);
  }

  /** Guards against a separate read for each reservation that waits for the same row. */
  @Test
  void joinsReadsOfOneTick() {
    table.put("a", 1);
    List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      reads.add(throttled.read(List.of("a", "absent" + i)));
    }
    scheduler.run(20);
    assertThat(table.reads).isEqualTo(1);
    assertThat(reads)
        .allMatch(r -> r.join() instanceof ReadResult.Rows rows && rows.rows().size() == 1);
  }

  /** Guards against frequent retries of writes that the platform refuses. */
  @Test
  void pausesLongerAfterEachFailure() {
    table.isDown = true;
    for (int i = 0; i < 600; i++) {
      var unused = write("k" + i);
      scheduler.run(100);
    }
    assertThat(table.writes).isBetween(10, 40);
    table.isDown = false;
    scheduler.run(6_000);
    CompletableFuture<WriteResult> result = write("last");
    scheduler.run(100);
    assertThat(result.join()).isInstanceOf(WriteResult.Committed.class);
  }

  /** Guards against reporting that a refused write may have been applied. */
  @Test
  void refusesWritesAsNotAppliedDuringLongPauses() {
    table.isDown = true;
    for (int i = 0; i < 100; i++) {
      var unused = write("k" + i);
      scheduler.run(100);
    }
    CompletableFuture<WriteResult> result = write("x");
    scheduler.run(600);
    assertThat(result.join()).isInstanceOf(WriteResult.NotApplied.class);
  }
}
