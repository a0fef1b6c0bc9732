package org.hibiscusreel.core.forward;

/**
 * Service of a configuration, run by upstreams.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param slots requests that one upstream runs at once, 0 if unknown
 * @param memoryTokens tokens that the memory of one upstream holds, 0 for a plain service
 * @param tokensPerEvent largest number of tokens in an event of a stream, 0 for a plain service
 */
public record ForwardService(
    String name, int maxConnections, int slots, long memoryTokens, int tokensPerEvent) {}
