package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.Problem;

/**
 * Receives the answer to one request on the event loop. Exactly one of {@code onComplete} and
 * {@code onProblem} is called, last.
 */
public interface AnswerListener {

  /**
   * Returns whether the caller needs the complete answer at once. The pieces are then buffered
   * until the answer is complete, so that the request can be restarted at another engine after a
   * failure.
   *
   * @return false if pieces are passed on as they arrive
   */
  default boolean wantsBufferedAnswer() {
    return false;
  }

  /**
   * Receives the next piece of the answer; pieces are delivered in order and exactly once.
   *
   * @param text text of the piece
   */
  void onPiece(String text);

  /**
   * Called when the answer is complete.
   *
   * @param end the end marker
   */
  void onComplete(AnswerEnd end);

  /**
   * Called when the request failed.
   *
   * @param problem problem to report to the caller
   */
  void onProblem(Problem problem);
}
