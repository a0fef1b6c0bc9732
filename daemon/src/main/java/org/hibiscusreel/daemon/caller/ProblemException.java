package org.hibiscusreel.daemon.caller;

import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;

/** A request that is refused before it is submitted. */
final class ProblemException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  ProblemException(ProblemCode code, String detail) {
    super(detail, null, false, false);
    this.problem = Problem.notRun(code, detail);
  }

  ProblemException(ProblemCode code, String detail, long retryAfterMillis) {
    super(detail, null, false, false);
    this.problem = Problem.notRun(code, detail, retryAfterMillis);
  }

  Problem problem() {
    return problem;
  }
}
