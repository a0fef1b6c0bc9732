package org.hibiscusreel.coordination.port;

/**
 * A row of a table, as read from the table service.
 *
 * @param key the key, not empty
 * @param version version of the row, 0 if the row is absent
 * @param value JSON text, empty if the row is absent
 */
public record Row(String key, long version, String value) {}
