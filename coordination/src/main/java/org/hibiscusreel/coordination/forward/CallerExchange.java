package org.hibiscusreel.coordination.forward;

import java.util.List;

/** The caller's side of one request. Called only on the thread of the event loop. */
public interface CallerExchange {

  /**
   * Answers with a whole message.
   *
   * @param status HTTP status
   * @param fields header fields
   * @param body whole body
   */
  void respond(int status, List<HeaderField> fields, byte[] body);

  /**
   * Answers with a refusal or failure of the daemon's own.
   *
   * @param refusal what the caller is told
   */
  void refuse(Refusal refusal);

  /**
   * Begins an answer whose body follows in pieces.
   *
   * @param status HTTP status
   * @param fields header fields
   */
  void begin(int status, List<HeaderField> fields);

  /**
   * Sends a piece of the body.
   *
   * @param piece bytes
   * @return false if enough waits for the caller, so that the upstream is paused
   */
  boolean write(byte[] piece);

  /** Ends the body as complete. */
  void end();

  /** Ends the connection, so that the answer can't look complete. */
  void abort();
}
