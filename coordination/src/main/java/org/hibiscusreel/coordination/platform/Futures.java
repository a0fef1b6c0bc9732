package org.hibiscusreel.coordination.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Helpers for futures that complete on the event loop. */
public final class Futures {
  private static final Logger LOGGER = System.getLogger(Futures.class.getName());

  private Futures() {}

  /**
   * Passes the result of a future on. A fault in the consumer is logged, since nobody waits for it.
   *
   * @param future the future
   * @param consumer takes the result
   * @param <T> type of the result
   */
  public static <T> void accept(CompletableFuture<T> future, Consumer<? super T> consumer) {
    CompletableFuture<Void> unused =
        future
            .thenAccept(consumer)
            .exceptionally(
                e -> {
                  LOGGER.log(Level.ERROR, "callback of an asynchronous call failed", e);
                  return null;
                });
  }
}
