package org.hibiscusreel.coordination.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Scheduler;

/** Makes calls in order at a limited rate and pauses after failures. */
final class RateLimitedCaller {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Period whose unused calls may be made in a burst, in milliseconds. */
  private static final long BURST_MILLIS = 100;

  /**
   * Longest time in the queue, in milliseconds. A call that waited longer would only delay the
   * retry of its caller.
   */
  private static final long MAX_WAIT_MILLIS = 500;

  private static final long FIRST_PAUSE_MILLIS = 50;
  private static final long MAX_PAUSE_MILLIS = 5_000;

  private record Call(long queuedAtMillis, Runnable start, Runnable reject) {}

  private final Scheduler scheduler;
  private final Backoff backoff;
  private final double intervalMillis;
  private final Deque<Call> queue = new ArrayDeque<>();
  private double nextAtMillis;
  private int failures;
  private long failedAtMillis;
  private boolean isScheduled;

  RateLimitedCaller(Scheduler scheduler, LongSupplier random, int callsPerSecond) {
    if (callsPerSecond <= 0) {
      throw new IllegalArgumentException(
          "the calls per second must be positive, but are " + callsPerSecond);
    }
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.backoff = new Backoff(FIRST_PAUSE_MILLIS, MAX_PAUSE_MILLIS, random);
    this.intervalMillis = MILLIS_PER_SECOND / callsPerSecond;
    this.nextAtMillis = scheduler.nowMillis();
  }

  <T> CompletableFuture<T> call(
      Supplier<CompletableFuture<T>> call, Predicate<T> isFailure, Function<String, T> rejection) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Runnable start =
        () -> {
          long startedAtMillis = scheduler.nowMillis();
          FutureCallbacks.onValue(
              call.get(),
              value -> {
                recordOutcome(isFailure.test(value), startedAtMillis);
                result.complete(value);
              });
        };
    Runnable reject = () -> result.complete(rejection.apply("too many calls wait or failed"));
    queue.add(new Call(scheduler.nowMillis(), start, reject));
    startDueCalls();
    return result;
  }

  /** Records the outcome of a call. Failures of calls that overlap count once. */
  private void recordOutcome(boolean isFailure, long startedAtMillis) {
    if (!isFailure) {
      failures = 0;
    } else if (failures == 0 || startedAtMillis > failedAtMillis) {
      failures++;
      failedAtMillis = scheduler.nowMillis();
      double pausedUntilMillis = (double) failedAtMillis + backoff.delayMillis(failures);
      nextAtMillis = Math.max(nextAtMillis, pausedUntilMillis);
    }
  }

  private void startDueCalls() {
    while (!queue.isEmpty()) {
      long now = scheduler.nowMillis();
      nextAtMillis = Math.max(nextAtMillis, (double) now - BURST_MILLIS);
      if (nextAtMillis <= now) {
        nextAtMillis += intervalMillis;
        queue.poll().start().run();
      } else if (nextAtMillis - (double) queue.peek().queuedAtMillis() > MAX_WAIT_MILLIS) {
        queue.poll().reject().run();
      } else {
        schedule((long) Math.ceil(nextAtMillis - (double) now));
        return;
      }
    }
  }

  private void schedule(long delayMillis) {
    if (!isScheduled) {
      isScheduled = true;
      scheduler.schedule(
          delayMillis,
          () -> {
            isScheduled = false;
            startDueCalls();
          });
    }
  }
}
