package org.hibiscusreel.core.budget;

/**
 * Open reservation in the ledger of its holder.
 *
 * @param id identifier of the reservation
 * @param tokens tokens still reserved
 * @param server incarnation of the daemon that serves the request
 * @param requestId request identifier given by the caller
 */
public record OpenReservationEntry(String id, long tokens, String server, String requestId) {}
