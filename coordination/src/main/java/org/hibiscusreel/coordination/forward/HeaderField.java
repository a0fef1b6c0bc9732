package org.hibiscusreel.coordination.forward;

/**
 * A header field of an HTTP message.
 *
 * @param name name in the received spelling
 * @param value value without surrounding white space
 */
public record HeaderField(String name, String value) {}
