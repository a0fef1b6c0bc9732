package org.hibiscusreel.core.budget;

/**
 * One top-up of a budget.
 *
 * @param id the operator's identifier; a top-up with an identifier already present is ignored
 * @param tokens tokens added, positive
 * @param atMillis wall-clock time in milliseconds since the epoch
 */
public record TopUp(String id, long tokens, long atMillis) {}
