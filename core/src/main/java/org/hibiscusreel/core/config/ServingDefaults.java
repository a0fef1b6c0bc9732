package org.hibiscusreel.core.config;

/**
 * Defaults of serving that classes, models and requests may change.
 *
 * @param deadlineMillis time from arrival to the end of the answer, in milliseconds
 * @param worth worth of a request
 * @param priority priority at engines; higher goes first
 * @param maxTokens token limit of a request that names none
 */
public record ServingDefaults(long deadlineMillis, double worth, int priority, int maxTokens) {}
