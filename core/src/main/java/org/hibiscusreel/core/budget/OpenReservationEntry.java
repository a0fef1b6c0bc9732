package org.hibiscusreel.core.budget;

/**
 * An open reservation as its holder keeps it.
 *
 * @param id identifier of the reservation
 * @param tokens tokens that it still holds
 * @param server incarnation that serves the request
 * @param requestId the caller's request identifier
 */
public record OpenReservationEntry(String id, long tokens, String server, String requestId) {}
