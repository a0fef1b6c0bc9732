package org.hibiscusreel.coordination.node;

/**
 * Status of one daemon for metrics.
 *
 * @param requestsInProgress number of requests in progress
 * @param unresolvedCalls number of calls that were sent and whose outcome is unknown
 * @param configurationVersion version of the configuration in force, 0 if there is none
 * @param membersAlive number of members believed alive, including this daemon
 * @param membersSuspect number of members that do not respond but can still refute the suspicion
 * @param billsBuffered number of bills that are not yet written to the platform
 * @param tokensHeld number of unreserved tokens in the allotments of this daemon
 * @param ready whether requests are accepted
 */
public record NodeStatus(
    int requestsInProgress,
    int unresolvedCalls,
    long configurationVersion,
    int membersAlive,
    int membersSuspect,
    int billsBuffered,
    long tokensHeld,
    boolean ready) {}
