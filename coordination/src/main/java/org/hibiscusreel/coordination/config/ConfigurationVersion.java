package org.hibiscusreel.coordination.config;

/**
 * Row of one published version in the platform.
 *
 * @param version the version, positive
 * @param author name of the publisher
 * @param note reason of the change, may be empty
 * @param atMillis wall-clock time in milliseconds since the epoch
 * @param digest SHA-256 of the configuration object in hexadecimal
 * @param publication unique identifier of the publication, which distinguishes publications with
 *     equal content
 */
public record ConfigurationVersion(
    long version, String author, String note, long atMillis, String digest, String publication) {}
