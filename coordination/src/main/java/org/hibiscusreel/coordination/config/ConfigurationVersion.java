package org.hibiscusreel.coordination.config;

/**
 * The platform's row of one published version.
 *
 * @param version the version, positive
 * @param author who published it
 * @param note why it was published, may be empty
 * @param atMillis wall-clock time in milliseconds since the epoch
 * @param digest SHA-256 of the configuration object in hexadecimal
 * @param publication unique value of the attempt to publish, which tells two equal attempts apart
 */
public record ConfigurationVersion(
    long version, String author, String note, long atMillis, String digest, String publication) {}
