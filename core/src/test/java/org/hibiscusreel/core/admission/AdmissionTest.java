package org.hibiscusreel.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.admission.AdmissionQueue.Waiting;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private final AdmissionQueue<String> queue = new AdmissionQueue<>(2);

  private static Waiting<String> waiting(String item, String account, double worth) {
    return new Waiting<>(item, account, worth, 100, 1_000);
  }

  /**
   * Guards against serving requests of low worth while those of higher worth wait or are dropped.
   */
  @Test
  void keepsAndStartsRequestsOfHighestWorth() {
    queue.offer(waiting("low", "a", 1), 0);
    queue.offer(waiting("high", "a", 10), 0);
    assertThat(queue.offer(waiting("mid", "a", 5), 0)).map(Waiting::item).contains("low");
    assertThat(queue.offer(waiting("least", "a", 0.5), 0)).map(Waiting::item).contains("least");
    assertThat(queue.poll(i -> !i.equals("high"), 0)).map(Waiting::item).contains("mid");
    assertThat(queue.poll(i -> true, 0)).map(Waiting::item).contains("high");
    assertThat(queue.poll(i -> true, 0)).isEqualTo(Optional.empty());
  }

  /** Guards against starting requests whose callers no longer wait. */
  @Test
  void removesExpiredRequests() {
    queue.offer(waiting("a", "a", 1), 0);
    assertThat(queue.expire(1_000)).isEmpty();
    assertThat(queue.expire(1_001)).extracting(Waiting::item).containsExactly("a");
    assertThat(queue.remove("a")).isFalse();
    assertThat(queue.size()).isZero();
  }

  /** Guards against one large account starving the others when all requests have equal worth. */
  @Test
  void sharesFairlyBetweenAccounts() {
    AdmissionQueue<String> q = new AdmissionQueue<>(100);
    for (int i = 0; i < 40; i++) {
      q.offer(waiting("large" + i, "large", 1), 0);
    }
    for (int i = 0; i < 5; i++) {
      q.offer(waiting("small" + i, "small", 1), 0);
    }
    List<String> started = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Waiting<String> w = q.poll(x -> true, i).orElseThrow();
      q.onStarted(w.account(), w.tokens(), i);
      started.add(w.account());
    }
    assertThat(started.stream().filter("small"::equals).count()).isEqualTo(5);
  }

  /** Guards against a limit that is not enforced or never recovers after it was reached. */
  @Test
  void enforcesConcurrencyAndRateLimits() {
    InProgressCounters counters = new InProgressCounters();
    assertThat(counters.tryAcquire("a", 1)).isTrue();
    assertThat(counters.tryAcquire("a", 1)).isFalse();
    counters.release("a");
    counters.release("a");
    assertThat(counters.get("a")).isZero();
    RateLimiter rate = new RateLimiter();
    assertThat(rate.tryAcquire(2, 0)).isZero();
    assertThat(rate.tryAcquire(2, 0)).isZero();
    assertThat(rate.tryAcquire(2, 0)).isEqualTo(500);
    assertThat(rate.tryAcquire(2, 500)).isZero();
  }

  /**
   * Guards against queueing requests at an upstream that has become slow, and against keeping its
   * limit low after it has recovered.
   */
  @Test
  void adaptsLimitToLatency() {
    AdaptiveLimit limit = new AdaptiveLimit(64);
    long now = 0;
    for (int i = 0; i < 50; i++) {
      limit.onDelay(50, 64, now += 100);
    }
    assertThat(limit.get(64)).isEqualTo(64);
    for (int i = 0; i < 100; i++) {
      limit.onDelay(2_000, 64, now += 2_100);
    }
    int low = limit.get(64);
    assertThat(low).isLessThan(16);
    for (int i = 0; i < 500; i++) {
      limit.onDelay(50, 64, now += 100);
    }
    assertThat(limit.get(64)).isGreaterThan(low);
    assertThat(limit.get(4)).isLessThanOrEqualTo(4);
  }
}
