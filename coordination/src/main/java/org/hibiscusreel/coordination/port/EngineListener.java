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
   * The engine ended the answer with its end mark.
   *
   * @param end the end mark
   */
  void onEnd(EngineEnd end);

  /**
   * The stream broke or was never started.
   *
   * @param failure what happened
   */
  void onFailure(EngineFailure failure);
}
