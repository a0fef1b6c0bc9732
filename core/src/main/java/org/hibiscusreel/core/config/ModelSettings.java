package org.hibiscusreel.core.config;

/**
 * How a model is served.
 *
 * @param name name that callers use
 * @param maxTokens largest token limit of a request
 * @param maxConcurrent requests in progress over one daemon, 0 for no limit
 */
public record ModelSettings(String name, int maxTokens, int maxConcurrent) {}
