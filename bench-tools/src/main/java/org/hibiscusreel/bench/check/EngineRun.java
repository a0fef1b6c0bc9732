package org.hibiscusreel.bench.check;

import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;

/**
 * A generation as recorded by an engine.
 *
 * @param upstream name of the engine
 * @param streamId stream identifier of the attempt
 * @param metadata metadata that the daemon sent with the request
 * @param startedAt time of the start, in milliseconds on the clock of the run
 * @param promptTokens number of tokens in the prompt
 * @param completionTokens number of tokens generated
 * @param state state of the generation when it was observed
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
   * Returns the number of tokens used.
   *
   * @return the sum of prompt and completion tokens
   */
  public long tokens() {
    return promptTokens + completionTokens;
  }
}
