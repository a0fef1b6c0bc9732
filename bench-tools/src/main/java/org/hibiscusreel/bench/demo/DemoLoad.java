package org.hibiscusreel.bench.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.core.request.Ran;

/** Mixed load at a fixed rate, with retries of the same key through another daemon. */
final class DemoLoad {

  private static final int MAX_ATTEMPTS = 6;
  private static final int RETRY_MILLIS = 300;

  private final Topology topology;
  private final long seed;
  private final Caller caller = new Caller();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ConcurrentLinkedQueue<DemoAttempt> attempts = new ConcurrentLinkedQueue<>();
  private volatile boolean isStopped;

  DemoLoad(Topology topology, long seed) {
    this.topology = topology;
    this.seed = seed;
  }

  /** Sends requests until {@link #stop()}; each starts at its time, however slow the others are. */
  void start(int perSecond) {
    threads.execute(
        () -> {
          long begin = System.nanoTime();
          for (int n = 0; !isStopped; n++) {
            int number = n;
            threads.execute(() -> serve(number));
            long due = begin + (n + 1) * TimeUnit.SECONDS.toNanos(1) / perSecond;
            sleep(TimeUnit.NANOSECONDS.toMillis(due - System.nanoTime()));
          }
        });
  }

  /** Sends no more requests and waits for those in flight. */
  void stop() throws InterruptedException {
    isStopped = true;
    sleep(RETRY_MILLIS);
    threads.shutdown();
    if (!threads.awaitTermination(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("requests of the load do not end");
    }
  }

  List<DemoAttempt> attempts() {
    return new ArrayList<>(attempts);
  }

  private void serve(int number) {
    List<String> hosts = List.copyOf(topology.callers.keySet());
    DemoCall call = DemoCall.of(number, seed);
    try {
      for (int i = 0; i < MAX_ATTEMPTS; i++) {
        String host = hosts.get((number + i) % hosts.size());
        long at = System.currentTimeMillis();
        Optional<Outcome> outcome = caller.send(topology.callers.get(host), call);
        if (outcome.isPresent()) {
          attempts.add(new DemoAttempt(call, host, at, outcome.get()));
          if (isFinal(outcome.get())) {
            return;
          }
        }
        Thread.sleep(RETRY_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isFinal(Outcome outcome) {
    return outcome instanceof Outcome.Whole
        || (outcome instanceof Outcome.Refused r && r.ran() == Ran.YES);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
