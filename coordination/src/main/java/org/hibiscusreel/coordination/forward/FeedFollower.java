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

  private final ChangeFeed feed;
  private final String table;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Listener listener;
  private long position = NO_POSITION;
  private boolean needsFullRead = true;
  private boolean isStoreUnavailable;
  private boolean stopped;
  private long lastResponseAtMillis;

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

  private void next() {
    if (stopped) {
      return;
    }
    var call =
        needsFullRead ? feed.readAll(table) : feed.poll(table, position, POLL_TIMEOUT_MILLIS);
    var unused = call.thenAccept(this::onResult);
  }

  private void onResult(ChangeFeed.Result result) {
    if (stopped) {
      return;
    }
    if (result instanceof ChangeFeed.Result.Failed f) {
      onFailed(f.reason());
      return;
    }
    onResponse();
    if (result instanceof ChangeFeed.Result.HistoryLost) {
      needsFullRead = true;
      log.record("history_lost", Map.of("table", table, "position", position));
      next();
    } else if (result instanceof ChangeFeed.Result.Changes c) {
      onRows(c);
    }
  }

  private void onRows(ChangeFeed.Result.Changes c) {
    if (needsFullRead && c.position() < position) {
      // A stale read would revert changes that were already applied.
      scheduler.schedule(RETRY_DELAY_MILLIS, this::next);
      return;
    }
    position = Math.max(position, c.position());
    if (needsFullRead) {
      needsFullRead = false;
      listener.onFullRead(c.changes());
    } else if (!c.changes().isEmpty()) {
      listener.onChanges(c.changes());
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

  private void onFailed(String reason) {
    if (!isStoreUnavailable) {
      isStoreUnavailable = true;
      log.record("store_lost", Map.of("table", table, "age_ms", ageMillis(), "reason", reason));
    }
    scheduler.schedule(RETRY_DELAY_MILLIS, this::next);
  }
}
