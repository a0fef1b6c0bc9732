package org.hibiscusreel.coordination.port;

/** Handle of a task or call that can be cancelled. */
@FunctionalInterface
public interface Cancellable {

  /** Cancels the task or call; has no effect if it has already ended. */
  void cancel();
}
