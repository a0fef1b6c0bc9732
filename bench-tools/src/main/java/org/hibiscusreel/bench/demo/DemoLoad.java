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

/**
 * Open-loop mixed load at a fixed rate; a retry sends the same idempotency key to another daemon.
 */
final class DemoLoad {

  private static final int MAX_ATTEMPTS = 6;
  private static final int RETRY_DELAY_MILLIS = 300;

  private final ProcessTopology topology;
  private final long seed;
  private final DemoClient client = new DemoClient();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final ConcurrentLinkedQueue<DemoAttempt> attempts = new ConcurrentLinkedQueue<>();
  private volatile boolean isStopped;

  DemoLoad(ProcessTopology topology, long seed) {
    this.topology = topology;
    this.seed = seed;
  }

  /**
   * Sends requests until {@link #stop()}, each at its scheduled time regardless of the latency of
   * others.
   */
  void start(int perSecond) {
    executor.execute(
        () -> {
          long startNanos = System.nanoTime();
          for (int n = 0; !isStopped; n++) {
            int number = n;
            executor.execute(() -> sendWithRetries(number));
            long dueNanos = startNanos + (n + 1) * TimeUnit.SECONDS.toNanos(1) / perSecond;
            sleep(TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime()));
          }
        });
  }

  /** Stops sending and waits up to 30 s for the requests in flight. */
  void stop() throws InterruptedException {
    isStopped = true;
    sleep(RETRY_DELAY_MILLIS);
    executor.shutdown();
    if (!executor.awaitTermination(30, TimeUnit.SECONDS)) {
      throw new IllegalStateException("requests of the load did not finish in time");
    }
  }

  List<DemoAttempt> attempts() {
    return new ArrayList<>(attempts);
  }

  private void sendWithRetries(int number) {
    List<String> hosts = List.copyOf(topology.callerAddresses.keySet());
    DemoCall call = DemoCall.of(number, seed);
    try {
      for (int i = 0; i < MAX_ATTEMPTS; i++) {
        String host = hosts.get((number + i) % hosts.size());
        long submittedAtMillis = System.currentTimeMillis();
        Optional<Outcome> outcome = client.send(topology.callerAddresses.get(host), call);
        if (outcome.isPresent()) {
          attempts.add(new DemoAttempt(call, host, submittedAtMillis, outcome.get()));
          if (isFinal(outcome.get())) {
            return;
          }
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
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
