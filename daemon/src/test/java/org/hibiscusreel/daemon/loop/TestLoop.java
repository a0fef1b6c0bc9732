package org.hibiscusreel.daemon.loop;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Event loop on a dedicated thread. */
public final class TestLoop implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 20;

  private final Eventloop eventloop = Eventloop.create();
  private final Thread thread = new Thread(eventloop, "test-loop");

  /** Starts the loop. */
  public TestLoop() {
    // Builds ActiveJ's table of header names now. It takes about a second, longer than some
    // timeouts of tests.
    HttpHeaders.of("Accept");
    eventloop.keepAlive(true);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the event loop. */
  public Eventloop eventloop() {
    return eventloop;
  }

  /** Runs a task on the loop and waits for its result. */
  public <T> T get(Supplier<T> task) {
    return await(() -> CompletableFuture.completedFuture(task.get()));
  }

  /** Runs a task on the loop and waits for it. */
  public void run(Runnable task) {
    get(
        () -> {
          task.run();
          return true;
        });
  }

  /** Starts a call on the loop and waits for its result. */
  public <T> T await(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          try {
            var unused =
                call.get()
                    .whenComplete(
                        (v, e) -> {
                          if (e == null) {
                            result.complete(v);
                          } else {
                            result.completeExceptionally(e);
                          }
                        });
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  @Override
  public void close() {
    eventloop.execute(() -> eventloop.keepAlive(false));
    eventloop.execute(eventloop::breakEventloop);
  }
}
