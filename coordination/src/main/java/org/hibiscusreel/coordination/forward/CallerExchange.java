package org.hibiscusreel.coordination.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;

/** Sends the response of one request to its caller. Called only on the event loop thread. */
public interface CallerExchange {

  /**
   * Sends a complete response.
   *
   * @param status HTTP status
   * @param fields header fields
   * @param body complete body
   */
  void respond(int status, List<HeaderField> fields, byte[] body);

  /**
   * Sends a complete response whose body is in several arrays.
   *
   * @param status HTTP status
   * @param fields header fields
   * @param body parts of the complete body, in order
   */
  default void respond(int status, List<HeaderField> fields, List<byte[]> body) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    body.forEach(joined::writeBytes);
    respond(status, fields, joined.toByteArray());
  }

  /**
   * Sends a refusal or failure that the daemon itself generates.
   *
   * @param refusal reason, retry advice and explanation for the caller
   */
  void refuse(Refusal refusal);

  /**
   * Starts a response whose body follows in pieces.
   *
   * @param status HTTP status
   * @param fields header fields
   */
  void begin(int status, List<HeaderField> fields);

  /**
   * Sends a piece of the body.
   *
   * @param piece bytes
   * @return false if the write buffer is full, so that the upstream must be paused
   */
  boolean write(byte[] piece);

  /** Completes the body. */
  void end();

  /**
   * Closes the connection without completing the body, so that the caller detects the truncation.
   */
  void abort();
}
