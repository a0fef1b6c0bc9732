package org.hibiscusreel.coordination.port;

/** Reason why the stream of an engine ended without its end marker. */
public sealed interface EngineFailure {

  /**
   * The request was certainly not sent, or the engine refused it without running it.
   *
   * @param reason description of the failure
   * @param retryAfterMillis delay after which the engine may have capacity, in milliseconds, 0 if
   *     unknown
   */
  record NotStarted(String reason, long retryAfterMillis) implements EngineFailure {}

  /**
   * The engine rejected the request as invalid; no other engine would accept it.
   *
   * @param status HTTP status, 400 to 499
   * @param detail explanation given by the engine
   */
  record Rejected(int status, String detail) implements EngineFailure {}

  /**
   * The connection failed after the request was sent.
   *
   * @param reason description of the failure
   */
  record Broken(String reason) implements EngineFailure {}

  /**
   * The engine no longer knows the stream to resume.
   *
   * @param reason description of the failure
   */
  record StreamLost(String reason) implements EngineFailure {}
}
