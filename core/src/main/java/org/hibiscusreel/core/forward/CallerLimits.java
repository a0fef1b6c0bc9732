package org.hibiscusreel.core.forward;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxBodyBytes largest body in bytes
 * @param headerTimeoutMillis timeout for receiving the headers, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
