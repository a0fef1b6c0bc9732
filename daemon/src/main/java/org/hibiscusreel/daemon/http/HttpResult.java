package org.hibiscusreel.daemon.http;

import io.activej.http.HttpHeader;
import java.util.Map;

/** Outcome of an HTTP call. */
public sealed interface HttpResult {

  /**
   * The complete response arrived.
   *
   * @param status HTTP status
   * @param contentType content type of the body, or empty
   * @param retryAfterMillis value of {@code Retry-After} in milliseconds, 0 if absent
   * @param fields other header fields that the caller asked for, by the name that it used; absent
   *     ones are left out
   * @param body the body
   */
  record Responded(
      int status,
      String contentType,
      long retryAfterMillis,
      Map<HttpHeader, String> fields,
      byte[] body)
      implements HttpResult {

    /**
     * Tells whether the status is 200 to 299.
     *
     * @return true for success
     */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  /**
   * A response has begun whose body is larger than its caller accepts.
   *
   * @param limitBytes largest size in bytes that the caller accepts
   */
  record TooLarge(long limitBytes) implements HttpResult {}

  /**
   * No connection could be opened, so no part of the call was sent.
   *
   * @param reason what happened
   */
  record NotSent(String reason) implements HttpResult {}

  /**
   * The call may have been sent, but no complete response arrived.
   *
   * @param reason what happened
   */
  record Lost(String reason) implements HttpResult {}
}
