package org.hibiscusreel.core.budget;

/**
 * Top-up of a budget.
 *
 * @param id identifier given by the operator; a top-up whose identifier is already present is
 *     ignored
 * @param tokens tokens added, positive
 * @param atMillis wall-clock time in milliseconds since the epoch
 */
public record TopUp(String id, long tokens, long atMillis) {}
