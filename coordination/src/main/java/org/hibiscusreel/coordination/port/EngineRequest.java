package org.hibiscusreel.coordination.port;

/**
 * A generation to start at an engine.
 *
 * @param streamId stream identifier, unique per attempt
 * @param body JSON body of the chat-completions call, with {@code "stream":true}
 * @param metadata metadata that the engine stores in its usage record
 * @param priority priority at the engine; requests with higher values run first
 */
public record EngineRequest(
    String streamId, byte[] body, DispatchMetadata metadata, int priority) {}
