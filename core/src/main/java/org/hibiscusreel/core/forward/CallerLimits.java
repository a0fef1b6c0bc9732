package org.hibiscusreel.core.forward;

/**
 * Limits on what a caller may send.
 *
 * @param maxBodyBytes largest body in bytes
 * @param headerTimeoutMillis longest time to send the headers, in milliseconds
 * @param idleTimeoutMillis time that an idle connection stays open, in milliseconds
 */
public record CallerLimits(int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
