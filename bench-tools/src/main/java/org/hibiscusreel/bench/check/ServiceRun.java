package org.hibiscusreel.bench.check;

/**
 * A run as a plain service saw it.
 *
 * @param upstream the instance
 * @param method name of the method
 * @param requestId the caller's request identifier
 * @param at time of the run in milliseconds
 */
public record ServiceRun(String upstream, String method, String requestId, long at) {}
