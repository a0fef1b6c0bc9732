package org.hibiscusreel.coordination.port;

/** A stream in progress at an engine. */
public interface EngineCall extends Cancellable {

  /** Stops reading from the connection until {@link #proceed()}, to push back on the engine. */
  void pause();

  /** Reads from the connection again. */
  void proceed();

  /**
   * Cancels the generation at the engine and drops the stream. No listener method is called
   * afterwards.
   */
  @Override
  void cancel();
}
