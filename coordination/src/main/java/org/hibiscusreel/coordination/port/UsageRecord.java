package org.hibiscusreel.coordination.port;

/**
 * An engine's usage record of one generation.
 *
 * @param seq sequence number at the engine
 * @param streamId stream identifier of the attempt
 * @param metadata metadata that was sent with the request
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param state state of the generation
 */
public record UsageRecord(
    long seq,
    String streamId,
    DispatchMetadata metadata,
    long promptTokens,
    long completionTokens,
    State state) {

  /** State of a generation. */
  public enum State {
    RUNNING,
    FINISHED,
    CANCELLED,
    ABORTED
  }
}
