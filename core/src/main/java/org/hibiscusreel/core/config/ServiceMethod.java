package org.hibiscusreel.core.config;

/**
 * A method of a plain service.
 *
 * @param name name in the path
 * @param repeatable whether a call may be sent again
 * @param costTokens fixed price in tokens
 * @param worth worth of a call
 * @param deadlineMillis time from arrival to the answer, in milliseconds
 */
public record ServiceMethod(
    String name, boolean repeatable, long costTokens, double worth, long deadlineMillis) {}
