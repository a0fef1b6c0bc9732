package org.hibiscusreel.core.ledger;

/**
 * The platform's row of the tokens that one server billed from one holder's allotment of a budget.
 *
 * @param tokens sum of all bills, not negative
 */
public record SpentRow(long tokens) {}
