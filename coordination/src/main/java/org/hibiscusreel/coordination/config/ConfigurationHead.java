package org.hibiscusreel.coordination.config;

/**
 * Row {@code config/head} of the platform, which identifies the newest version.
 *
 * @param version newest version, positive
 * @param digest SHA-256 of the configuration object in hexadecimal
 */
public record ConfigurationHead(long version, String digest) {}
