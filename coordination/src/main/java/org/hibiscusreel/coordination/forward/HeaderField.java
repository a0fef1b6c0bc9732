package org.hibiscusreel.coordination.forward;

/**
 * One header field of a message.
 *
 * @param name name as it was received
 * @param value value without surrounding white space
 */
public record HeaderField(String name, String value) {}
