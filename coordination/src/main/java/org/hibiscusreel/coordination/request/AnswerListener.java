package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.Problem;

/**
 * Receives the answer of one request on the event loop. Exactly one of {@code onComplete} and
 * {@code onProblem} is called, last.
 */
public interface AnswerListener {

  /**
   * Tells whether the caller takes the answer only as a whole. Its pieces are then held back until
   * the answer is whole, so that another engine can start anew after a failure.
   *
   * @return false if pieces are passed on as they come
   */
  default boolean wantsWholeAnswer() {
    return false;
  }

  /**
   * Receives the next piece of the answer; pieces come in order, each once.
   *
   * @param text text of the piece
   */
  void onPiece(String text);

  /**
   * The answer is whole.
   *
   * @param end the end mark
   */
  void onComplete(AnswerEnd end);

  /**
   * The request failed.
   *
   * @param problem what to tell the caller
   */
  void onProblem(Problem problem);
}
