package org.hibiscusreel.coordination.forward;

/**
 * Settings of the forwarding.
 *
 * @param failureDomain failure domain of this daemon
 * @param retryRatio retries of all daemons per request, from the operator
 * @param retrySlack retries that all daemons may make beyond that in one window, from the operator
 */
public record ForwardSettings(String failureDomain, double retryRatio, double retrySlack) {}
