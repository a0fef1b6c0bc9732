package org.hibiscusreel.coordination.config;

/**
 * The platform's row {@code config/head}.
 *
 * @param version newest version, positive
 * @param digest SHA-256 of the configuration object in hexadecimal
 */
public record ConfigurationHead(long version, String digest) {}
