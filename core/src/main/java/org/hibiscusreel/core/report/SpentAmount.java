package org.hibiscusreel.core.report;

/**
 * Tokens that a server charged to an allotment.
 *
 * @param holder incarnation that holds the allotment
 * @param budget budget
 * @param server incarnation that charged
 * @param tokens tokens ever charged
 */
public record SpentAmount(String holder, String budget, String server, long tokens) {}
