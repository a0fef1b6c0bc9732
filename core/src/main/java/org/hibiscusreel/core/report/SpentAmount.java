package org.hibiscusreel.core.report;

/**
 * Total tokens that a server charged to an allotment.
 *
 * @param holder incarnation that holds the allotment
 * @param budget budget
 * @param server incarnation that charged the tokens
 * @param tokens total tokens charged
 */
public record SpentAmount(String holder, String budget, String server, long tokens) {}
