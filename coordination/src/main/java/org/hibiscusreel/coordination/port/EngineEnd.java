package org.hibiscusreel.coordination.port;

/**
 * End mark of an engine's answer.
 *
 * @param pieces number of pieces of the whole answer
 * @param finishReason reason that the engine gives, for example {@code stop} or {@code length}
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 */
public record EngineEnd(
    long pieces, String finishReason, long promptTokens, long completionTokens) {}
