package org.hibiscusreel.core.config;

/**
 * Settings of a model.
 *
 * @param name name used by callers
 * @param maxTokens largest token limit of a request
 * @param maxConcurrent maximum number of requests in progress at one daemon, 0 for no limit
 */
public record ModelSettings(String name, int maxTokens, int maxConcurrent) {}
