package org.hibiscusreel.coordination.port;

/**
 * A load report of an engine.
 *
 * @param running requests being generated
 * @param queued requests waiting
 * @param capacity requests that can be generated at once
 * @param leaving whether the engine is leaving
 * @param atMillis wall-clock time of the report in milliseconds since the epoch
 */
public record EngineLoad(int running, int queued, int capacity, boolean leaving, long atMillis) {}
