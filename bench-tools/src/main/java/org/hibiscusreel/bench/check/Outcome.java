package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.request.Ran;

/** Outcome of one attempt as seen by the caller. */
public sealed interface Outcome {

  /**
   * A complete answer: its end was received explicitly.
   *
   * @param text text of the answer
   */
  record Whole(String text) implements Outcome {}

  /**
   * An explicit error: a problem document or an error at the end of a stream.
   *
   * @param code error code of the problem document
   * @param ran whether the request ran, according to the error
   */
  record Refused(String code, Ran ran) implements Outcome {}

  /**
   * No outcome was received: the connection broke or the caller timed out.
   *
   * @param reason cause of the failure
   */
  record Broken(String reason) implements Outcome {}
}
