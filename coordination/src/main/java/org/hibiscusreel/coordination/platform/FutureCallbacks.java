package org.hibiscusreel.coordination.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/** Callbacks for futures that log exceptions instead of losing them. */
public final class FutureCallbacks {

  private static final Logger LOGGER = System.getLogger(FutureCallbacks.class.getName());

  private FutureCallbacks() {}

  /**
   * Runs an action with the value of a future.
   *
   * @param future the future
   * @param action action to run when the future completes normally; not run if it completes
   *     exceptionally
   * @param <T> type of the value
   */
  public static <T> void onValue(CompletableFuture<T> future, Consumer<? super T> action) {
    var unused =
        future
            .thenAccept(action)
            .exceptionally(
                fault -> {
                  LOGGER.log(Level.ERROR, "Future or its callback failed", fault);
                  return null;
                });
  }

  /**
   * Runs an action when a future completes, normally or exceptionally.
   *
   * @param future the future
   * @param action the action
   */
  public static void onEnd(CompletableFuture<Void> future, Runnable action) {
    onValue(
        future.exceptionally(
            fault -> {
              LOGGER.log(Level.ERROR, "Asynchronous task failed", fault);
              return null;
            }),
        done -> action.run());
  }

  /**
   * Runs an asynchronous action for each element sequentially.
   *
   * @param elements the elements
   * @param action the action
   * @param <T> type of the elements
   * @return completes after the last action
   */
  public static <T> CompletableFuture<Void> forEachSequentially(
      Iterable<? extends T> elements, Function<? super T, CompletableFuture<Void>> action) {
    return next(elements.iterator(), action);
  }

  private static <T> CompletableFuture<Void> next(
      Iterator<? extends T> rest, Function<? super T, CompletableFuture<Void>> action) {
    if (!rest.hasNext()) {
      return CompletableFuture.completedFuture(null);
    }
    return action.apply(rest.next()).thenCompose(done -> next(rest, action));
  }
}
