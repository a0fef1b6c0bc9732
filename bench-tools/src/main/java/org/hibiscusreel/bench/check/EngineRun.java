package org.hibiscusreel.bench.check;

import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;

/**
 * A generation as an engine saw it.
 *
 * @param upstream the engine
 * @param streamId stream identifier of the attempt
 * @param metadata what was sent with the request
 * @param startedAt time of the start in milliseconds
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param state how the generation ended
 */
public record EngineRun(
    String upstream,
    String streamId,
    DispatchMetadata metadata,
    long startedAt,
    long promptTokens,
    long completionTokens,
    UsageRecord.State state) {

  /**
   * Returns the tokens used.
   *
   * @return prompt and completion tokens
   */
  public long tokens() {
    return promptTokens + completionTokens;
  }
}
