package org.hibiscusreel.core.config;

/**
 * Class of requests, which callers select with the header {@code X-Class}.
 *
 * @param name name of the class
 * @param worth value of a request in the operators' unit
 * @param deadlineMillis time from the arrival of the request to the end of the response, in
 *     milliseconds
 * @param priority priority at engines; higher values are served first
 */
public record RequestClass(String name, double worth, long deadlineMillis, int priority) {}
