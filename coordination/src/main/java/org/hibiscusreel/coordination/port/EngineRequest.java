package org.hibiscusreel.coordination.port;

/**
 * A generation to start at an engine.
 *
 * @param streamId unique per attempt
 * @param body JSON body of the chat-completions call, with {@code "stream":true}
 * @param metadata what the engine keeps in its usage record
 * @param priority priority at the engine; higher goes first
 */
public record EngineRequest(
    String streamId, byte[] body, DispatchMetadata metadata, int priority) {}
