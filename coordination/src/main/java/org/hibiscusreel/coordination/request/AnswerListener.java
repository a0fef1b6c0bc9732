package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.Problem;

/**
 * Receives the answer of one request on the event loop. Exactly one of {@code onComplete} and
 * {@code onProblem} is called, last.
 */
public interface AnswerListener {

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
