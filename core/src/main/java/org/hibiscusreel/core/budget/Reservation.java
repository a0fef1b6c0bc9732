package org.hibiscusreel.core.budget;

/**
 * Tokens reserved for one attempt to serve a request.
 *
 * @param id unique identifier of the attempt to reserve
 * @param budget identifier of the budget
 * @param holder incarnation that owns the allotment from which the tokens are reserved
 * @param tokens reserved tokens, the worst case of the request
 */
public record Reservation(String id, String budget, String holder, long tokens) {}
