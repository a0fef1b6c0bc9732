package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.port.Cancellable;

/** A call to a model in progress. */
public interface ModelCall extends Cancellable {

  /** Stops the flow of pieces while the caller reads slowly. */
  void pause();

  /** Lets pieces flow again. */
  void proceed();

  /** Ends the call because the caller went away. No listener method is called afterwards. */
  @Override
  void cancel();
}
