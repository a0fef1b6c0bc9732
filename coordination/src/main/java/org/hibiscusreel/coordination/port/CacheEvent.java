package org.hibiscusreel.coordination.port;

/**
 * A change of the prefix cache of an engine.
 *
 * @param seq sequence number; a gap indicates lost events
 * @param stored true if the prefix was stored, false if it was evicted
 * @param prefixHash hash of the prefix
 */
public record CacheEvent(long seq, boolean stored, String prefixHash) {}
