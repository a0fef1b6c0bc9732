package org.hibiscusreel.daemon.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.timeline.HybridTimestamp;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class EventLogTest {

  private final List<String> written = new ArrayList<>();
  private boolean isStoreUp = true;
  private final ObjectStore store =
      new ObjectStore() {
        @Override
        public CompletableFuture<Boolean> put(String key, byte[] body) {
          written.add(key + " " + new String(body, StandardCharsets.UTF_8));
          return CompletableFuture.completedFuture(isStoreUp);
        }

        @Override
        public CompletableFuture<GetResult> get(String key) {
          throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<ListResult> list(String prefix) {
          throw new UnsupportedOperationException();
        }
      };
  private final Scheduler scheduler =
      new Scheduler() {
        @Override
        public long nowMillis() {
          return 0;
        }

        @Override
        public long wallMillis() {
          return 86_400_000;
        }

        @Override
        public Cancellable schedule(long delayMillis, Runnable task) {
          return () -> {};
        }
      };
  private final EventLog log = new EventLog(scheduler, store, "i");

  private void record(int count) {
    for (int i = 0; i < count; i++) {
      log.record(
          new TimelineEvent(new HybridTimestamp(1, i), "i", "kind", "", "", "", "", "d" + i));
    }
  }

  @Test
  void showsEventsAfterNumber() {
    record(3);

    assertThat(log.after(1, 10)).extracting(EventLog.NumberedEvent::seq).containsExactly(2L, 3L);
    assertThat(log.after(0, 2)).extracting(EventLog.NumberedEvent::seq).containsExactly(1L, 2L);
    assertThat(log.after(3, 10)).isEmpty();
  }

  /**
   * Guards against events that are lost, or written under two keys, when the response to a write is
   * lost.
   */
  @Test
  void writesBatchAgainUnderTheSameKeyUntilItIsCertain() {
    record(1);
    isStoreUp = false;
    log.flush().join();
    record(1);
    log.flush().join();
    isStoreUp = true;
    log.flush().join();
    log.flush().join();
    log.flush().join();

    assertThat(written).hasSize(4);
    assertThat(written.get(0)).startsWith("events/1970-01-02/i/1 {").endsWith("}\n");
    assertThat(written.subList(1, 3)).containsOnly(written.get(0));
    assertThat(written.get(3)).startsWith("events/1970-01-02/i/2 ");
  }

  @Test
  void dropsOldestEventsWhenTheStoreIsDown() {
    record(EventLog.MAX_QUEUED_EVENTS + 5);

    assertThat(log.dropped()).isEqualTo(5);
    assertThat(log.after(0, EventLog.MAX_QUEUED_EVENTS)).hasSize(EventLog.MAX_KEPT_EVENTS);
  }
}
