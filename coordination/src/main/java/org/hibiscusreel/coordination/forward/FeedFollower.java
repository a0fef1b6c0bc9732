package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;
import org.hibiscusreel.coordination.port.Scheduler;

/** Follows the rows of one table through outages and lost history. */
final class FeedFollower {

  /**
   * Wait of one poll. A connection may go silent without a reset, which only the next poll shows,
   * and news must be in force within two seconds.
   */
  static final long WAIT_MILLIS = 1_000;

  /** Pause after a failed call, in milliseconds. */
  static final long RETRY_MILLIS = 150;

  /** Receives the rows. */
  interface Listener {

    /** The store answers again after failed calls. */
    void onRegained();

    /** All rows of the table. */
    void onAll(List<Change> rows);

    /** Rows that changed. */
    void onChanges(List<Change> changes);
  }

  private static final long NONE = -1;

  private final ChangeFeed feed;
  private final String table;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Listener listener;
  private long position = NONE;
  private boolean mustReadAll = true;
  private boolean isLost;
  private boolean stopped;
  private long answeredAt;

  FeedFollower(
      ChangeFeed feed, String table, Scheduler scheduler, DecisionLog log, Listener listener) {
    this.feed = Objects.requireNonNull(feed, "feed");
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.log = Objects.requireNonNull(log, "log");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  void start() {
    answeredAt = scheduler.nowMillis();
    next();
  }

  void stop() {
    stopped = true;
  }

  /** Returns the time since the store last answered, in milliseconds. */
  long ageMillis() {
    return scheduler.nowMillis() - answeredAt;
  }

  private void next() {
    if (stopped) {
      return;
    }
    var call = mustReadAll ? feed.readAll(table) : feed.poll(table, position, WAIT_MILLIS);
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
    onAnswered();
    if (result instanceof ChangeFeed.Result.HistoryLost) {
      mustReadAll = true;
      log.record("history_lost", Map.of("table", table, "position", position));
      next();
    } else if (result instanceof ChangeFeed.Result.Changes c) {
      onRows(c);
    }
  }

  private void onRows(ChangeFeed.Result.Changes c) {
    if (mustReadAll && c.position() < position) {
      // A read that lags behind what was already seen would take the belief back.
      scheduler.schedule(RETRY_MILLIS, this::next);
      return;
    }
    position = Math.max(position, c.position());
    if (mustReadAll) {
      mustReadAll = false;
      listener.onAll(c.changes());
    } else if (!c.changes().isEmpty()) {
      listener.onChanges(c.changes());
    }
    next();
  }

  private void onAnswered() {
    answeredAt = scheduler.nowMillis();
    if (isLost) {
      isLost = false;
      log.record("store_regained", Map.of("table", table));
      listener.onRegained();
    }
  }

  private void onFailed(String reason) {
    if (!isLost) {
      isLost = true;
      log.record("store_lost", Map.of("table", table, "age_ms", ageMillis(), "reason", reason));
    }
    scheduler.schedule(RETRY_MILLIS, this::next);
  }
}
