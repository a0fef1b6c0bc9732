package org.hibiscusreel.coordination.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;
import org.hibiscusreel.coordination.port.Scheduler;

/**
 * Follows the rows of one table across outages of the store, loss of its change history and its
 * restoration from an older copy.
 */
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

    /** Called when the store was restored from an older copy, before its rows are read again. */
    default void onStoreRestored() {}

    /** Called with all rows of the table. */
    void onFullRead(List<Change> rows);

    /** Called with the rows that changed. */
    void onChanges(List<Change> changes);

    /** Returns whether a change of one of the rows may have been missed if they came late. */
    default boolean mayMissChanges(List<Change> late) {
      return !late.isEmpty();
    }
  }

  /**
   * Time after which another call is started beside one without a response, in milliseconds. A
   * connection may have stalled without a reset.
   */
  static final long OVERDUE_MILLIS = POLL_TIMEOUT_MILLIS + 700;

  /**
   * Largest number of calls in progress. Responses may take seconds over a congested link, so a
   * call stays in progress for that long while new ones detect that the store is back.
   */
  static final int MAX_CALLS = 6;

  private static final long NO_POSITION = -1;
  private static final long NEVER = Long.MIN_VALUE;

  /** A question that a poll answers which is started later, with this number or a higher one. */
  private record Question(long firstCall, CompletableFuture<Boolean> answer) {}

  /** A poll or full read in progress. */
  private record Call(
      long number,
      boolean isFullRead,
      long waitMillis,
      long startedAtMillis,
      CompletableFuture<ChangeFeed.Result> result) {}

  private final Deque<Call> calls = new ArrayDeque<>();
  private final List<Question> questions = new ArrayList<>();
  private final ChangeFeed feed;
  private final String table;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Listener listener;
  private Cancellable nextCall = () -> {};
  private long position = NO_POSITION;
  private long era; // to which the position belongs
  private boolean needsFullRead = true;
  private boolean prefersFullRead;
  private boolean isConfirmed;
  private boolean isStoreUnavailable;
  private boolean stopped;
  private long lastResponseAtMillis;
  private long knownAsOfMillis = NEVER;
  private long lastReadMillis;
  private long lastCall; // number of the last call
  private long followedSinceMillis = NEVER;

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
    call();
  }

  void stop() {
    stopped = true;
    nextCall.cancel();
    cancelCalls();
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

  /**
   * Returns for how long all changes were received, in milliseconds, 0 if none were. A read of all
   * rows and a late answer begin it anew, since rows may have come and gone before.
   */
  long followedMillis() {
    return followedSinceMillis == NEVER ? 0 : scheduler.nowMillis() - followedSinceMillis;
  }

  /** Records that some changes were not received, so that the time without a gap begins anew. */
  void onGap() {
    followedSinceMillis = scheduler.nowMillis();
  }

  /**
   * Asks the store for what has changed until now. The age of the last answer does not tell: a
   * process that stood still does not know for how long.
   *
   * @param timeoutMillis longest wait in milliseconds
   * @return true once all changes before this call were received, false if the store did not answer
   */
  CompletableFuture<Boolean> catchUp(long timeoutMillis) {
    Question question = new Question(lastCall + 1, new CompletableFuture<>());
    questions.add(question);
    Cancellable timeout = scheduler.schedule(timeoutMillis, () -> end(question, false));
    var unused = question.answer().thenAccept(known -> timeout.cancel());
    if (calls.stream().allMatch(c -> c.waitMillis() > 0)) {
      call();
    }
    return question.answer();
  }

  private void end(Question question, boolean isKnown) {
    questions.remove(question);
    question.answer().complete(isKnown);
  }

  /** Answers the questions that were asked before a call was started. */
  private void answer(Call call, boolean isKnown) {
    questions.stream()
        .filter(q -> q.firstCall() <= call.number())
        .toList()
        .forEach(q -> end(q, isKnown));
  }

  private void call() {
    nextCall.cancel();
    if (stopped) {
      return;
    }
    if (calls.size() == MAX_CALLS) {
      calls.removeFirst().result().cancel(false);
    }
    boolean isFullRead = needsFullRead || prefersFullRead;
    // A poll after a full read does not wait, so that it confirms the read at once.
    boolean isUrgent = isFullRead || !isConfirmed || !questions.isEmpty();
    long waitMillis = isUrgent ? 0 : POLL_TIMEOUT_MILLIS;
    Call call =
        new Call(
            ++lastCall,
            isFullRead,
            waitMillis,
            scheduler.nowMillis(),
            isFullRead ? feed.readAll(table) : feed.poll(table, position, waitMillis));
    calls.addLast(call);
    nextCall = scheduler.schedule(OVERDUE_MILLIS, () -> onOverdue(call));
    var unused = call.result().thenAccept(r -> onResult(call, r));
  }

  /** Starts another call beside the ones without a response. */
  private void onOverdue(Call call) {
    log.record(
        "store_call_overdue",
        Map.of("table", table, "in_progress", calls.size(), "age_ms", knowledgeAgeMillis()));
    onUnavailable("no response within " + elapsedMillis(call) + " ms");
    answer(call, false);
    call();
  }

  private void onResult(Call call, ChangeFeed.Result result) {
    boolean isNewest = call.equals(calls.peekLast());
    if (stopped || !calls.remove(call)) {
      return;
    }
    if (result instanceof ChangeFeed.Result.Failed f) {
      onFailed(call, f.reason(), isNewest);
      return;
    }
    cancelCalls();
    onResponse();
    boolean isRestored = feed.era() != era;
    if (isRestored) {
      onRestored();
    }
    if (isRestored && !call.isFullRead()) {
      // Its position was that of another state of the store.
      scheduleCall(0);
    } else if (result instanceof ChangeFeed.Result.HistoryLost) {
      needsFullRead = true;
      log.record("history_lost", Map.of("table", table, "position", position));
      // After an unconfirmed read, the store still answers reads from before the lost history.
      scheduleCall(isConfirmed ? 0 : readPauseMillis());
    } else if (result instanceof ChangeFeed.Result.TooManyChanges) {
      prefersFullRead = true;
      log.record("too_many_changes", Map.of("table", table, "position", position));
      scheduleCall(0);
    } else if (result instanceof ChangeFeed.Result.Changes c) {
      onRows(call, c);
    }
  }

  /** Forgets the position, which says nothing about the changes of the new era. */
  private void onRestored() {
    boolean wasKnown = position != NO_POSITION;
    if (wasKnown) {
      log.record(
          "store_restored",
          Map.of("table", table, "position", position, "era", feed.era(), "before", era));
    }
    era = feed.era();
    position = NO_POSITION;
    needsFullRead = true;
    isConfirmed = false;
    if (wasKnown) {
      notifyListener(listener::onStoreRestored);
    }
  }

  private void onRows(Call call, ChangeFeed.Result.Changes c) {
    prefersFullRead = !call.isFullRead() && isOutpaced(call, c);
    if (call.isFullRead()) {
      lastReadMillis = elapsedMillis(call);
    }
    if (call.isFullRead() && c.position() < position) {
      log.record("stale_read", Map.of("table", table, "position", c.position(), "known", position));
      onStaleRead();
      return;
    }
    position = Math.max(position, c.position());
    if (call.isFullRead()) {
      needsFullRead = false;
      isConfirmed = false;
      onGap();
      notifyListener(() -> listener.onFullRead(c.changes()));
    } else {
      isConfirmed = true;
      if (knowledgeAgeMillis() > OVERDUE_MILLIS && listener.mayMissChanges(c.changes())) {
        // The answer may have only the newest of several changes of a row.
        onGap();
      }
      knownAsOfMillis = Math.max(knownAsOfMillis, answeredAtEarliest(call, c));
      if (!c.changes().isEmpty()) {
        notifyListener(() -> listener.onChanges(c.changes()));
      }
      answer(call, true);
    }
    call();
  }

  /**
   * Calls the listener. Its failure must not keep the follower from the next call, which would come
   * only when this one counts as overdue.
   */
  private void notifyListener(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      String reason = RowValue.shorten(String.valueOf(e), RowValue.MAX_REASON_LENGTH);
      log.record("rows_not_applied", Map.of("table", table, "reason", reason));
    }
  }

  /** Drops a read that would revert changes that were already applied. */
  private void onStaleRead() {
    if (needsFullRead) {
      scheduleCall(readPauseMillis());
    } else {
      call();
    }
  }

  /**
   * Returns the pause before a read is repeated. It is as long as a read takes, which leaves room
   * for other traffic if the table is large and the link slow.
   */
  private long readPauseMillis() {
    return Math.max(RETRY_DELAY_MILLIS, Math.min(OVERDUE_MILLIS, lastReadMillis));
  }

  /**
   * Tells whether rows change faster than their versions arrive. The feed sends each version of a
   * row, a read only the newest.
   */
  private boolean isOutpaced(Call poll, ChangeFeed.Result.Changes c) {
    long rows = c.changes().stream().map(ChangeFeed.Change::key).distinct().count();
    return elapsedMillis(poll) > OVERDUE_MILLIS && rows < c.changes().size();
  }

  /** Returns the earliest time at which the store can have sent the response to a poll. */
  private long answeredAtEarliest(Call poll, ChangeFeed.Result.Changes c) {
    // The store sends an empty response only after the wait of the poll.
    boolean waited = c.changes().isEmpty() && elapsedMillis(poll) >= poll.waitMillis();
    return poll.startedAtMillis() + (waited ? poll.waitMillis() : 0);
  }

  private long elapsedMillis(Call call) {
    return scheduler.nowMillis() - call.startedAtMillis();
  }

  private void onResponse() {
    lastResponseAtMillis = scheduler.nowMillis();
    if (isStoreUnavailable) {
      isStoreUnavailable = false;
      log.record("store_regained", Map.of("table", table));
      notifyListener(listener::onStoreAvailable);
    }
  }

  private void onFailed(Call call, String reason, boolean isNewest) {
    log.record(
        "store_call_failed",
        Map.of(
            "table",
            table,
            "took_ms",
            elapsedMillis(call),
            "age_ms",
            knowledgeAgeMillis(),
            "reason",
            reason));
    onUnavailable(reason);
    answer(call, false);
    // Many versions of a large row may be written during an outage, of which a read has only the
    // newest.
    prefersFullRead = true;
    if (isNewest) {
      scheduleCall(RETRY_DELAY_MILLIS);
    }
  }

  private void onUnavailable(String reason) {
    if (!isStoreUnavailable) {
      isStoreUnavailable = true;
      log.record("store_lost", Map.of("table", table, "age_ms", ageMillis(), "reason", reason));
    }
  }

  private void scheduleCall(long delayMillis) {
    nextCall.cancel();
    nextCall = scheduler.schedule(delayMillis, this::call);
  }

  private void cancelCalls() {
    calls.forEach(c -> c.result().cancel(false));
    calls.clear();
  }
}
