package org.hibiscusreel.coordination.port;

/**
 * A load report of an engine.
 *
 * @param running requests whose answers are being generated
 * @param queued waiting requests
 * @param capacity requests that the engine can run concurrently
 * @param leaving whether the engine is leaving
 * @param atMillis wall-clock time of the report in milliseconds since the epoch
 */
public record EngineLoad(int running, int queued, int capacity, boolean leaving, long atMillis) {}
