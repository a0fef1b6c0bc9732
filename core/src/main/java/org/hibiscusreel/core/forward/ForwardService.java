package org.hibiscusreel.core.forward;

/**
 * Configured service that upstreams provide.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param slots requests that one upstream runs concurrently, 0 if unknown
 * @param cacheCapacityTokens capacity of the key-value cache of one upstream in tokens, 0 for a
 *     plain service
 * @param tokensPerEvent largest number of tokens in one stream event, 0 if it is not known, as for
 *     a plain service
 */
public record ForwardService(
    String name, int maxConnections, int slots, long cacheCapacityTokens, int tokensPerEvent) {}
