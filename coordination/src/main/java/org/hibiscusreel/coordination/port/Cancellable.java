package org.hibiscusreel.coordination.port;

/** A handle of something that can be cancelled. */
@FunctionalInterface
public interface Cancellable {

  /** Cancels; does nothing if it already ended. */
  void cancel();
}
