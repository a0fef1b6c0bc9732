package org.hibiscusreel.coordination.recovery;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/** Inserts and closes the row of this incarnation. */
final class IncarnationRegistration {

  private static final int MAX_CLOSE_ATTEMPTS = 5;

  private final Scheduler scheduler;
  private final TableService table;
  private final Backoff backoff;
  private final String incarnation;
  private final IncarnationRow row;
  private long version;
  private boolean isEnded;

  IncarnationRegistration(
      Scheduler scheduler,
      TableService table,
      Backoff backoff,
      String incarnation,
      IncarnationRow row) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.row = Objects.requireNonNull(row, "row");
  }

  IncarnationRow row() {
    return row;
  }

  /** Inserts the row, retrying until the write succeeds or {@link #end} is called. */
  void insert(Runnable whenRegistered) {
    insert(whenRegistered, 1);
  }

  private void insert(Runnable whenRegistered, int attempt) {
    if (isEnded) {
      return;
    }
    FutureCallbacks.onValue(
        table.transact(List.of(Mutation.insert(key(), Json.write(row)))),
        result -> {
          if (result instanceof WriteResult.Committed committed) {
            version = committed.versions().get(0);
            whenRegistered.run();
          } else if (result instanceof WriteResult.Conflict conflict
              && !conflict.rows().isEmpty()) {
            // The identifier is unique, so an earlier attempt whose response was lost wrote the
            // row.
            version = conflict.rows().get(0).version();
            whenRegistered.run();
          } else {
            scheduler.schedule(
                backoff.delayMillis(attempt), () -> insert(whenRegistered, attempt + 1));
          }
        });
  }

  /**
   * Marks the row closed if {@code isClosed} is set and the row exists; gives up after {@link
   * #MAX_CLOSE_ATTEMPTS} attempts.
   */
  CompletableFuture<Boolean> end(boolean isClosed) {
    isEnded = true;
    CompletableFuture<Boolean> written = new CompletableFuture<>();
    if (isClosed && version > 0) {
      close(1, written);
    } else {
      written.complete(false);
    }
    return written;
  }

  private void close(int attempt, CompletableFuture<Boolean> written) {
    String value = Json.write(row.with(IncarnationState.CLOSED, ""));
    FutureCallbacks.onValue(
        table.transact(List.of(Mutation.replace(key(), version, value))),
        result -> {
          boolean isCommitted = result instanceof WriteResult.Committed;
          if (isCommitted
              || result instanceof WriteResult.Conflict
              || attempt == MAX_CLOSE_ATTEMPTS) {
            written.complete(isCommitted);
          } else {
            scheduler.schedule(backoff.delayMillis(attempt), () -> close(attempt + 1, written));
          }
        });
  }

  private String key() {
    return TableKeys.incarnation(incarnation);
  }
}
