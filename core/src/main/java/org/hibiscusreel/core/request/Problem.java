package org.hibiscusreel.core.request;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A failure as it is told to a caller.
 *
 * @param code the stable code
 * @param ran whether the request ran
 * @param detail what happened, for people; may be empty
 * @param retryAfterMillis when a retry is worthwhile, in milliseconds from now, if known
 */
public record Problem(ProblemCode code, Ran ran, String detail, OptionalLong retryAfterMillis) {

  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
   */
  public Problem {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(ran, "ran");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
  }

  /**
   * Creates a problem of a request that was not run.
   *
   * @param code the stable code
   * @param detail what happened
   * @return the problem without a retry time
   */
  public static Problem notRun(ProblemCode code, String detail) {
    return new Problem(code, Ran.NO, detail, OptionalLong.empty());
  }

  /**
   * Creates a problem of a request that was not run and may be retried.
   *
   * @param code the stable code
   * @param detail what happened
   * @param retryAfterMillis milliseconds until a retry is worthwhile
   * @return the problem with a retry time
   */
  public static Problem notRun(ProblemCode code, String detail, long retryAfterMillis) {
    return new Problem(code, Ran.NO, detail, OptionalLong.of(retryAfterMillis));
  }

  /**
   * Creates a problem of a request that may have run.
   *
   * @param code the stable code
   * @param ran {@link Ran#YES} or {@link Ran#UNKNOWN}
   * @param detail what happened
   * @return the problem without a retry time
   */
  public static Problem of(ProblemCode code, Ran ran, String detail) {
    return new Problem(code, ran, detail, OptionalLong.empty());
  }
}
