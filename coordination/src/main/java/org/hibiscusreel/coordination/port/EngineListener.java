package org.hibiscusreel.coordination.port;

/**
 * Receives the stream of one attempt on the event loop. Exactly one of {@code onEnd} and {@code
 * onFailure} is called, last, unless the call is cancelled.
 */
public interface EngineListener {

  /**
   * Receives a piece of the answer.
   *
   * @param offset number of the piece, from 0
   * @param text text of the piece
   */
  void onPiece(long offset, String text);

  /**
   * Called when the engine ended the answer with its end marker.
   *
   * @param end the end marker
   */
  void onEnd(EngineEnd end);

  /**
   * Called when the stream broke or was never started.
   *
   * @param failure the reason
   */
  void onFailure(EngineFailure failure);
}
