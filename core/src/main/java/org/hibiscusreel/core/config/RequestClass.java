package org.hibiscusreel.core.config;

/**
 * A class of requests that callers name with {@code X-Class}.
 *
 * @param name name of the class
 * @param worth worth of a request
 * @param deadlineMillis time from arrival to the end of the answer, in milliseconds
 * @param priority priority at engines; higher goes first
 */
public record RequestClass(String name, double worth, long deadlineMillis, int priority) {}
