package org.hibiscusreel.ctl.platform;

import java.nio.charset.StandardCharsets;

/** Outcome of one HTTP request. */
public sealed interface HttpReply {

  /**
   * The server answered.
   *
   * @param status HTTP status
   * @param body content of the response
   */
  record Response(int status, byte[] body) implements HttpReply {

    /**
     * Returns the content as text.
     *
     * @return the content decoded as UTF-8
     */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * No connection was made, so that the request certainly had no effect.
   *
   * @param reason what happened
   */
  record NotSent(String reason) implements HttpReply {}

  /**
   * The connection failed or the time ran out; the request may have had its effect.
   *
   * @param reason what happened
   */
  record Lost(String reason) implements HttpReply {}

  /**
   * Describes a reply that is not the expected one.
   *
   * @return text for people
   */
  default String describe() {
    if (this instanceof Response response) {
      return "HTTP status " + response.status();
    }
    return this instanceof NotSent notSent ? notSent.reason() : ((Lost) this).reason();
  }
}
