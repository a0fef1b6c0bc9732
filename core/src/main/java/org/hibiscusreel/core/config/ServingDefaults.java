package org.hibiscusreel.core.config;

/**
 * Default settings for requests, which classes, models and requests may override.
 *
 * @param deadlineMillis time from the arrival of the request to the end of the response, in
 *     milliseconds
 * @param worth value of a request in the operators' unit
 * @param priority priority at engines; higher values are served first
 * @param maxTokens token limit of a request that does not specify one
 */
public record ServingDefaults(long deadlineMillis, double worth, int priority, int maxTokens) {}
