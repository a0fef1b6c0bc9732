package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;
import org.hibiscusreel.coordination.port.Scheduler;

/** Follows the rows of one table across outages of the store and loss of its change history. */
final class FeedFollower {

  /**
   * Duration of one long poll in milliseconds. A connection may stall without a reset, which only
   * the next poll detects, and changes must take effect within 2 seconds.
   */
  static final long POLL_TIMEOUT_MILLIS = 1_000;

  /** Delay after a failed call, in milliseconds. */
  static final long RETRY_DELAY_MILLIS = 150;

  /** Receives the rows. */
  interface Listener {

    /** Called when the store responds again after failed calls. */
    void onStoreAvailable();

    /** Called with all rows of the table. */
    void onFullRead(List<Change> rows);

    /** Called with the rows that changed. */
    void onChanges(List<Change> changes);
  }

  private static final long NO_POSITION = -1;
  private static final long NEVER = Long.MIN_VALUE;

  private final ChangeFeed feed;
  private final String table;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Listener listener;
  private long position = NO_POSITION;
  private boolean needsFullRead = true;
  private boolean isConfirmed;
  private boolean isStoreUnavailable;
  private boolean stopped;
  private long lastResponseAtMillis;
  private long knownAsOfMillis = NEVER;

  FeedFollower(
      ChangeFeed feed, String table, Scheduler scheduler, DecisionLog log, Listener listener) {
    this.feed = Objects.requireNonNull(feed, "feed");
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.log = Objects.requireNonNull(log, "log");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  void start() {
    lastResponseAtMillis = scheduler.nowMillis();
    next();
  }

  void stop() {
    stopped = true;
  }

  /** Returns the time since the last response of the store, in milliseconds. */
  long ageMillis() {
    return scheduler.nowMillis() - lastResponseAtMillis;
  }

  /**
   * Returns the age of what is known of the table, in milliseconds: all changes before that time
   * were received. {@code Long.MAX_VALUE} until a poll has confirmed a full read, since the store
   * may answer reads from an earlier state.
   */
  long knowledgeAgeMillis() {
    return knownAsOfMillis == NEVER ? Long.MAX_VALUE : scheduler.nowMillis() - knownAsOfMillis;
  }

  private void next() {
    if (stopped) {
      return;
    }
    long startedAt = scheduler.nowMillis();
    var call = needsFullRead ? feed.readAll(table) : feed.poll(table, position, pollMillis());
    var unused = call.thenAccept(r -> onResult(r, startedAt));
  }

  /** Returns how long the next poll waits: not at all after a full read, to confirm it at once. */
  private long pollMillis() {
    return isConfirmed ? POLL_TIMEOUT_MILLIS : 0;
  }

  private void onResult(ChangeFeed.Result result, long startedAt) {
    if (stopped) {
      return;
    }
    if (result instanceof ChangeFeed.Result.Failed f) {
      onFailed(f.reason(), startedAt);
      return;
    }
    onResponse();
    if (result instanceof ChangeFeed.Result.HistoryLost) {
      needsFullRead = true;
      log.record("history_lost", Map.of("table", table, "position", position));
      next();
    } else if (result instanceof ChangeFeed.Result.Changes c) {
      onRows(c, startedAt);
    }
  }

  private void onRows(ChangeFeed.Result.Changes c, long startedAt) {
    if (needsFullRead && c.position() < position) {
      // A stale read would revert changes that were already applied.
      scheduler.schedule(RETRY_DELAY_MILLIS, this::next);
      return;
    }
    position = Math.max(position, c.position());
    if (needsFullRead) {
      needsFullRead = false;
      isConfirmed = false;
      listener.onFullRead(c.changes());
    } else {
      knownAsOfMillis = Math.max(knownAsOfMillis, answeredAtEarliest(c, startedAt));
      isConfirmed = true;
      if (!c.changes().isEmpty()) {
        listener.onChanges(c.changes());
      }
    }
    next();
  }

  private void onResponse() {
    lastResponseAtMillis = scheduler.nowMillis();
    if (isStoreUnavailable) {
      isStoreUnavailable = false;
      log.record("store_regained", Map.of("table", table));
      listener.onStoreAvailable();
    }
  }

  /** Returns the earliest time at which the store can have sent the response to a poll. */
  private long answeredAtEarliest(ChangeFeed.Result.Changes c, long startedAt) {
    // The store sends an empty response only after the wait of the poll.
    boolean waited =
        c.changes().isEmpty() && scheduler.nowMillis() - startedAt >= POLL_TIMEOUT_MILLIS;
    return waited ? startedAt + pollMillis() : startedAt;
  }

  private void onFailed(String reason, long startedAt) {
    log.record(
        "store_call_failed",
        Map.of(
            "table",
            table,
            "took_ms",
            scheduler.nowMillis() - startedAt,
            "age_ms",
            knowledgeAgeMillis(),
            "reason",
            reason));
    if (!isStoreUnavailable) {
      isStoreUnavailable = true;
      log.record("store_lost", Map.of("table", table, "age_ms", ageMillis(), "reason", reason));
    }
    scheduler.schedule(RETRY_DELAY_MILLIS, this::next);
  }
}
