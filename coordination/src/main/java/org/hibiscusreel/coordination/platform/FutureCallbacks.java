package org.hibiscusreel.coordination.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Callbacks of futures whose faults are logged instead of being lost. */
public final class FutureCallbacks {

  private static final Logger LOGGER = System.getLogger(FutureCallbacks.class.getName());

  private FutureCallbacks() {}

  /**
   * Runs an action with the value of a future.
   *
   * @param future the future
   * @param action runs when the future completes; not run if it completes exceptionally
   * @param <T> type of the value
   */
  public static <T> void onValue(CompletableFuture<T> future, Consumer<? super T> action) {
    var unused =
        future
            .thenAccept(action)
            .exceptionally(
                fault -> {
                  LOGGER.log(Level.ERROR, "a callback failed", fault);
                  return null;
                });
  }
}
