package org.hibiscusreel.coordination.testing;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/** Scheduler of one simulated process; after the process was killed, none of its tasks runs. */
public final class ProcessScheduler implements Scheduler {

  private final Scheduler shared;
  private boolean isKilled;

  /** Creates the scheduler of a process on a scheduler shared by all processes. */
  public ProcessScheduler(Scheduler shared) {
    this.shared = shared;
  }

  /** Kills the process. */
  public void kill() {
    isKilled = true;
  }

  public boolean isKilled() {
    return isKilled;
  }

  /** Returns a future that completes like the given one unless the process was killed before. */
  public <T> CompletableFuture<T> guard(CompletableFuture<T> future) {
    CompletableFuture<T> guarded = new CompletableFuture<>();
    var unused =
        future.thenAccept(
            value -> {
              if (!isKilled) {
                guarded.complete(value);
              }
            });
    return guarded;
  }

  /** Wraps a port so that calls of a killed process have no effect and receive no response. */
  @SuppressWarnings("unchecked")
  public <T> T guard(Class<T> port, T target) {
    InvocationHandler handler =
        (proxy, method, args) ->
            isKilled
                ? new CompletableFuture<>()
                : guard((CompletableFuture<Object>) method.invoke(target, args));
    return (T) Proxy.newProxyInstance(port.getClassLoader(), new Class<?>[] {port}, handler);
  }

  @Override
  public long nowMillis() {
    return shared.nowMillis();
  }

  @Override
  public long wallMillis() {
    return shared.wallMillis();
  }

  @Override
  public Cancellable schedule(long delayMillis, Runnable task) {
    return shared.schedule(
        delayMillis,
        () -> {
          if (!isKilled) {
            task.run();
          }
        });
  }
}
