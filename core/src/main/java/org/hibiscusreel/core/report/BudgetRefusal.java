package org.hibiscusreel.core.report;

/**
 * Request that was refused because of its budget.
 *
 * @param account client account
 * @param budget budget
 * @param code problem code that was sent to the caller
 * @param atMillis wall-clock time of the refusal in milliseconds since the epoch
 * @param tokens tokens that the request would have consumed at most
 * @param worth worth of the request
 */
public record BudgetRefusal(
    String account, String budget, String code, long atMillis, long tokens, double worth) {}
