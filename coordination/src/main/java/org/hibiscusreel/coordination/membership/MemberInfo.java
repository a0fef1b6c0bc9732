package org.hibiscusreel.coordination.membership;

/**
 * Identity and addresses of a daemon.
 *
 * @param incarnation unique identifier of the run of the daemon
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param site site of the host
 * @param peerAddress IP number and port of the peer service
 * @param adminAddress IP number and port of the administrative HTTP service
 */
public record MemberInfo(
    String incarnation,
    String host,
    String failureDomain,
    String site,
    String peerAddress,
    String adminAddress) {}
