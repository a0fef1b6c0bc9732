package org.hibiscusreel.coordination.port;

/** Why a stream of an engine ended without its end mark. */
public sealed interface EngineFailure {

  /**
   * The engine was certainly not reached, or refused without running anything.
   *
   * @param reason what happened
   * @param retryAfterMillis when the engine may have room again, 0 if unknown
   */
  record NotStarted(String reason, long retryAfterMillis) implements EngineFailure {}

  /**
   * The engine refused the request itself; no other engine would accept it.
   *
   * @param status HTTP status, 400 to 499
   * @param detail what the engine said
   */
  record Rejected(int status, String detail) implements EngineFailure {}

  /**
   * The connection broke after the request was sent.
   *
   * @param reason what happened
   */
  record Broken(String reason) implements EngineFailure {}

  /**
   * The engine no longer knows the stream that should be resumed.
   *
   * @param reason what happened
   */
  record StreamLost(String reason) implements EngineFailure {}
}
