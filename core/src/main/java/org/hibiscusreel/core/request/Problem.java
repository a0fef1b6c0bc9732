package org.hibiscusreel.core.request;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Failure of a request as reported to its caller.
 *
 * @param code stable code
 * @param ran whether the request ran
 * @param detail human-readable explanation; may be empty
 * @param retryAfterMillis time after which a retry is worthwhile, in milliseconds, if known
 */
public record Problem(ProblemCode code, Ran ran, String detail, OptionalLong retryAfterMillis) {

  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
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
   * @param code stable code
   * @param detail human-readable explanation
   * @return the problem without a retry time
   */
  public static Problem notRun(ProblemCode code, String detail) {
    return new Problem(code, Ran.NO, detail, OptionalLong.empty());
  }

  /**
   * Creates a problem of a request that was not run and may be retried.
   *
   * @param code stable code
   * @param detail human-readable explanation
   * @param retryAfterMillis time after which a retry is worthwhile, in milliseconds
   * @return the problem with a retry time
   */
  public static Problem notRun(ProblemCode code, String detail, long retryAfterMillis) {
    return new Problem(code, Ran.NO, detail, OptionalLong.of(retryAfterMillis));
  }

  /**
   * Creates a problem of a request that may have run.
   *
   * @param code stable code
   * @param ran {@link Ran#YES} or {@link Ran#UNKNOWN}
   * @param detail human-readable explanation
   * @return the problem without a retry time
   */
  public static Problem of(ProblemCode code, Ran ran, String detail) {
    return new Problem(code, ran, detail, OptionalLong.empty());
  }
}
