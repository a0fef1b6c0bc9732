package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.port.Cancellable;

/** A call to a model in progress. */
public interface ModelCall extends Cancellable {

  /** Stops the delivery of pieces while the caller reads slowly. */
  void pause();

  /** Continues the delivery of pieces. */
  void resumeReading();

  /** Cancels the call because the caller disconnected. No listener method is called afterwards. */
  @Override
  void cancel();
}
