package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.Problem;

/** Outcome of a call to a plain service. */
public sealed interface ServiceOutcome {

  /**
   * The service responded to this or an earlier attempt of the request.
   *
   * @param status HTTP status
   * @param contentType content type of the body, or empty
   * @param body the body
   */
  record Answered(int status, String contentType, byte[] body) implements ServiceOutcome {}

  /**
   * The call failed.
   *
   * @param problem problem to report to the caller
   */
  record Failed(Problem problem) implements ServiceOutcome {}
}
