package org.hibiscusreel.core.budget;

/**
 * Tokens reserved for one attempt to serve a request.
 *
 * @param id unique per attempt to reserve
 * @param budget identifier of the budget
 * @param holder incarnation whose allotment the tokens come from
 * @param tokens the worst case, in tokens
 */
public record Reservation(String id, String budget, String holder, long tokens) {}
