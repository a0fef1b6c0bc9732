package org.hibiscusreel.bench.check;

/**
 * A run of a call as recorded by a plain service.
 *
 * @param upstream name of the service instance
 * @param method name of the method
 * @param requestId request identifier chosen by the caller
 * @param at time at which the call ran, in milliseconds on the clock of the run
 */
public record ServiceRun(String upstream, String method, String requestId, long at) {}
