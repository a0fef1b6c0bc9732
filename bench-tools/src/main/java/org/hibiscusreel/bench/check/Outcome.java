package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.request.Ran;

/** What a caller received for one attempt. */
public sealed interface Outcome {

  /**
   * An answer with its end mark.
   *
   * @param text the text received
   */
  record Whole(String text) implements Outcome {}

  /**
   * A problem document, or an explicit error at the end of a stream.
   *
   * @param code the stable code
   * @param ran whether the request ran, as told to the caller
   */
  record Refused(String code, Ran ran) implements Outcome {}

  /**
   * The connection broke or the caller gave up waiting.
   *
   * @param reason what happened
   */
  record Broken(String reason) implements Outcome {}
}
