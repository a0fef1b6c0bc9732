package org.hibiscusreel.coordination.port;

/**
 * A usage record that an engine keeps of a generation.
 *
 * @param seq sequence number at the engine
 * @param streamId stream identifier of the attempt
 * @param metadata what was sent with the request
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param state how the generation ended
 */
public record UsageRecord(
    long seq,
    String streamId,
    DispatchMetadata metadata,
    long promptTokens,
    long completionTokens,
    State state) {

  /** How a generation ended. */
  public enum State {
    RUNNING,
    FINISHED,
    CANCELLED,
    ABORTED
  }
}
