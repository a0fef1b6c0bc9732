package org.hibiscusreel.coordination.port;

/**
 * End marker of an engine's answer.
 *
 * @param pieces number of pieces of the complete answer
 * @param finishReason finish reason given by the engine, for example {@code stop} or {@code length}
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 */
public record EngineEnd(
    long pieces, String finishReason, long promptTokens, long completionTokens) {}
