package org.hibiscusreel.core.report;

/**
 * A request that was refused because of its budget.
 *
 * @param account client account
 * @param budget budget
 * @param code code of the problem that the caller was told
 * @param atMillis wall-clock time of the refusal in milliseconds since the epoch
 * @param tokens worst case of the request in tokens
 * @param worth worth of the request
 */
public record BudgetRefusal(
    String account, String budget, String code, long atMillis, long tokens, double worth) {}
