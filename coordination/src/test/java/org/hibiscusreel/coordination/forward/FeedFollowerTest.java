package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.junit.jupiter.api.Test;

class FeedFollowerTest {

  private static final String TABLE = "t";
  private static final long STEP_MILLIS = 50;
  private static final int FAULTY_STEPS = 1_200;
  private static final long CATCH_UP_MILLIS = 600;

  /** Longest time that a call of the feed may take; it fails afterwards. */
  private static final long CALL_TIMEOUT_MILLIS = 10_000;

  /** Most versions of the row that an answer to a poll holds. */
  private static final int MAX_CHANGES = 3;

  private final VirtualScheduler scheduler = new VirtualScheduler();

  /** A row with a counter, behind links and a store that fail at random. */
  private final class FaultyStore implements ChangeFeed {

    private final Random random;
    private final List<Long> writtenAtMillis = new ArrayList<>(List.of(0L));
    private int historyFrom;
    private long oneWayMillis = 2;
    private long staleMillis;
    private boolean isRefusing;
    private boolean isSilent;

    private FaultyStore(long seed) {
      random = new Random(seed);
    }

    private int newest() {
      return writtenAtMillis.size() - 1;
    }

    /** Returns the number of the last write before a time. */
    private int newestAt(long millis) {
      int i = newest();
      while (i > 0 && writtenAtMillis.get(i) > millis) {
        i--;
      }
      return i;
    }

    private void changeFaults() {
      switch (random.nextInt(60)) {
        case 0 -> oneWayMillis = random.nextInt(4_000);
        case 1 -> oneWayMillis = 2;
        case 2 -> isRefusing = !isRefusing;
        case 3 -> isSilent = !isSilent;
        case 4 -> staleMillis = random.nextInt(5_000);
        case 5 -> historyFrom = newest();
        case 6, 7, 8 -> writtenAtMillis.add(scheduler.nowMillis());
        default -> {
          // Nothing changes in most steps.
        }
      }
    }

    private void repair() {
      oneWayMillis = 2;
      staleMillis = 0;
      isRefusing = false;
      isSilent = false;
    }

    @Override
    public CompletableFuture<Result> readAll(String table) {
      CompletableFuture<Result> call = newCall();
      arrive(
          call,
          () -> {
            int n = newestAt(scheduler.nowMillis() - staleMillis);
            respond(call, new Result.Changes(List.of(row(n)), n));
          });
      return call;
    }

    @Override
    public CompletableFuture<Result> poll(String table, long position, long waitMillis) {
      CompletableFuture<Result> call = newCall();
      arrive(call, () -> waitForChange(call, position, scheduler.nowMillis() + waitMillis));
      return call;
    }

    private CompletableFuture<Result> newCall() {
      CompletableFuture<Result> call = new CompletableFuture<>();
      scheduler.schedule(CALL_TIMEOUT_MILLIS, () -> call.complete(new Result.Failed("time")));
      return call;
    }

    private void arrive(CompletableFuture<Result> call, Runnable handler) {
      scheduler.schedule(
          oneWayMillis,
          () -> {
            if (isRefusing) {
              respond(call, new Result.Failed("refused"));
            } else if (!isSilent) {
              handler.run();
            }
          });
    }

    private void waitForChange(CompletableFuture<Result> call, long position, long untilMillis) {
      if (position < historyFrom) {
        respond(call, new Result.HistoryLost());
      } else if (position < newest() || scheduler.nowMillis() >= untilMillis) {
        List<Change> changes = new ArrayList<>();
        for (int i = (int) position + 1; i <= newest(); i++) {
          changes.add(row(i));
        }
        boolean isTooLarge = changes.size() > MAX_CHANGES;
        respond(
            call, isTooLarge ? new Result.TooManyChanges() : new Result.Changes(changes, newest()));
      } else {
        scheduler.schedule(10, () -> waitForChange(call, position, untilMillis));
      }
    }

    private void respond(CompletableFuture<Result> call, Result result) {
      scheduler.schedule(oneWayMillis, () -> call.complete(result));
    }

    private static Change row(int number) {
      return new Change("row", Optional.of(Integer.toString(number)));
    }
  }

  /** Remembers the newest row and how often it went back. */
  private static final class Known implements FeedFollower.Listener {

    private int number = -1;
    private int reverted;

    @Override
    public void onStoreAvailable() {}

    @Override
    public void onFullRead(List<Change> rows) {
      onChanges(rows);
    }

    @Override
    public void onChanges(List<Change> changes) {
      for (Change c : changes) {
        int next = Integer.parseInt(c.value().orElseThrow());
        reverted += next < number ? 1 : 0;
        number = next;
      }
    }
  }

  /**
   * Guards against an age that is lower than that of the knowledge, against reverted rows, and
   * against a follower that does not catch up once the faults have ended.
   */
  @Property(tries = 60, seed = "18")
  void knowsAllChangesOlderThanTheAgeOfItsKnowledge(@ForAll long seed) {
    FaultyStore store = new FaultyStore(seed);
    Known known = new Known();
    FeedFollower follower = new FeedFollower(store, TABLE, scheduler, (e, f) -> {}, known);
    follower.start();
    for (int i = 0; i < FAULTY_STEPS; i++) {
      store.changeFaults();
      scheduler.run(STEP_MILLIS);
      assertAgeIsTrue(store, known, follower);
    }
    store.repair();
    store.writtenAtMillis.add(scheduler.nowMillis());
    scheduler.run(2 * FeedFollower.OVERDUE_MILLIS);
    assertThat(known.number).isEqualTo(store.newest());
    assertThat(follower.knowledgeAgeMillis()).isLessThanOrEqualTo(FeedFollower.OVERDUE_MILLIS);
    assertThat(known.reverted).isZero();
  }

  /**
   * Guards against a conclusion from rows that have changed before it was asked for, and against a
   * question that is never answered.
   */
  @Property(tries = 20, seed = "46")
  void knowsAllChangesBeforeItWasAskedToCatchUp(@ForAll long seed) {
    final Random random = new Random(seed);
    FaultyStore store = new FaultyStore(seed);
    Known known = new Known();
    FeedFollower follower = new FeedFollower(store, TABLE, scheduler, (e, f) -> {}, known);
    follower.start();
    List<Integer> missing = new ArrayList<>();
    int answered = 0;
    for (int i = 0; i < FAULTY_STEPS; i++) {
      store.changeFaults();
      scheduler.run(STEP_MILLIS);
      if (i % 5 == 0) {
        int newest = store.newest();
        CompletableFuture<Boolean> isCaughtUp = follower.catchUp(CATCH_UP_MILLIS);
        var unused =
            isCaughtUp.thenAccept(
                is -> {
                  if (is && known.number < newest) {
                    missing.add(newest);
                  }
                });
        scheduler.run(random.nextInt((int) CATCH_UP_MILLIS));
        answered += isCaughtUp.getNow(false) ? 1 : 0;
      }
    }
    scheduler.run(CATCH_UP_MILLIS);
    assertThat(missing).isEmpty();
    assertThat(answered).isPositive();
    store.repair();
    scheduler.run(2 * FeedFollower.OVERDUE_MILLIS);
    CompletableFuture<Boolean> last = follower.catchUp(CATCH_UP_MILLIS);
    scheduler.run(10);
    assertThat(last).isCompletedWithValue(true);
  }

  /** Guards against a follower that asks again and again for more versions than it can receive. */
  @Test
  void readsAllRowsOnceTooManyChangesCame() {
    FaultyStore store = new FaultyStore(1);
    Known known = new Known();
    FeedFollower follower = new FeedFollower(store, TABLE, scheduler, (e, f) -> {}, known);
    follower.start();
    scheduler.run(1_000);
    store.isSilent = true;
    scheduler.run(5_000);
    for (int i = 0; i <= MAX_CHANGES; i++) {
      store.writtenAtMillis.add(scheduler.nowMillis());
    }
    store.isSilent = false;
    scheduler.run(FeedFollower.OVERDUE_MILLIS + 100);
    assertThat(known.number).isEqualTo(store.newest());
    assertThat(follower.knowledgeAgeMillis()).isLessThan(FeedFollower.OVERDUE_MILLIS);
  }

  /** Guards against a row that came and went while the changes were not received. */
  @Test
  void followsAnewAfterReadOfAllRows() {
    FaultyStore store = new FaultyStore(1);
    FeedFollower follower = new FeedFollower(store, TABLE, scheduler, (e, f) -> {}, new Known());
    assertThat(follower.followedMillis()).isZero();
    follower.start();
    scheduler.run(5_000);
    assertThat(follower.followedMillis()).isGreaterThan(4_900);
    store.isRefusing = true;
    scheduler.run(2_000);
    store.isRefusing = false;
    scheduler.run(1_000);
    assertThat(follower.followedMillis()).isLessThan(1_000);
  }

  private void assertAgeIsTrue(FaultyStore store, Known known, FeedFollower follower) {
    long age = follower.knowledgeAgeMillis();
    if (age != Long.MAX_VALUE) {
      int needed = store.newestAt(scheduler.nowMillis() - age - 1);
      assertThat(known.number).isGreaterThanOrEqualTo(needed);
    }
  }
}
