package org.hibiscusreel.core.config;

/**
 * Method of a plain service.
 *
 * @param name name in the request path
 * @param repeatable whether a call may be repeated
 * @param costTokens fixed price in tokens
 * @param worth value of a call in the operators' unit
 * @param deadlineMillis time from the arrival of the call to the response, in milliseconds
 */
public record ServiceMethod(
    String name, boolean repeatable, long costTokens, double worth, long deadlineMillis) {}
