package org.hibiscusreel.ctl.platform;

import java.nio.charset.StandardCharsets;

/** Outcome of an HTTP request. */
public sealed interface HttpReply {

  /**
   * The server responded.
   *
   * @param status HTTP status
   * @param body body of the response
   */
  record Response(int status, byte[] body) implements HttpReply {

    /**
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * The connection could not be established, so the request had no effect.
   *
   * @param reason description of the failure
   */
  record NotSent(String reason) implements HttpReply {}

  /**
   * The connection failed or the request timed out; the request may have taken effect.
   *
   * @param reason description of the failure
   */
  record Lost(String reason) implements HttpReply {}

  /**
   * Describes an unexpected outcome.
   *
   * @return human-readable text
   */
  default String describe() {
    if (this instanceof Response response) {
      return "HTTP status " + response.status();
    }
    return this instanceof NotSent notSent ? notSent.reason() : ((Lost) this).reason();
  }
}
