package org.hibiscusreel.core.ledger;

/**
 * Row in the platform's store for the tokens that one server billed from one holder's allotment of
 * a budget.
 *
 * @param tokens sum of all bills, not negative
 */
public record SpentRow(long tokens) {}
