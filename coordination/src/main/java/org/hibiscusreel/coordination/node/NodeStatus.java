package org.hibiscusreel.coordination.node;

/**
 * Figures of one daemon for metrics.
 *
 * @param requestsInProgress requests that are being served
 * @param unresolvedCalls calls that were sent and whose outcome is not known
 * @param configurationVersion version of the configuration in force, 0 if there is none
 * @param membersAlive members believed alive, with this daemon
 * @param membersSuspect members that do not respond and can still refute
 * @param billsBuffered bills that wait for the platform
 * @param tokensHeld tokens in the allotments of this daemon
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
