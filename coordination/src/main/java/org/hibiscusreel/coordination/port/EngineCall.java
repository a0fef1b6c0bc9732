package org.hibiscusreel.coordination.port;

/** A stream in progress at an engine. */
public interface EngineCall extends Cancellable {

  /**
   * Stops reading from the connection until {@link #resumeReading()}, which applies back-pressure
   * to the engine.
   */
  void pause();

  /** Continues to read from the connection. */
  void resumeReading();

  /**
   * Cancels the generation at the engine and closes the stream. No listener method is called
   * afterwards.
   */
  @Override
  void cancel();
}
