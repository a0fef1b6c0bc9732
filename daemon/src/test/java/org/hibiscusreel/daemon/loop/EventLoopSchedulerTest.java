package org.hibiscusreel.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopSchedulerTest {

  private final MonotonicTimeProvider time = new MonotonicTimeProvider();
  private final Eventloop loop = Eventloop.builder().withTimeProvider(time).build();
  private final EventLoopScheduler scheduler = new EventLoopScheduler(loop, time);
  private final List<String> ran = new ArrayList<>();

  private void fail(String name, Error error) {
    ran.add(name);
    if (error == null) {
      throw new IllegalStateException(name);
    }
    throw error;
  }

  /** Guards against a process that ends because a task or a callback fails. */
  @Test
  @Timeout(10)
  void loopRunsOnAfterFailuresOfTasksAndCallbacks() {
    loop.keepAlive(true);
    loop.post(
        () -> {
          scheduler.schedule(1, () -> fail("task", null));
          scheduler.schedule(2, () -> fail("deep", new StackOverflowError()));
          SettablePromise<String> response = new SettablePromise<>();
          response.whenResult(r -> fail("callback", null));
          scheduler.schedule(3, () -> response.set(""));
          scheduler.schedule(
              20,
              () -> {
                ran.add("last");
                loop.keepAlive(false);
              });
          fail("posted", null);
        });
    loop.run();
    assertThat(ran).containsExactly("posted", "task", "deep", "callback", "last");
  }
}
