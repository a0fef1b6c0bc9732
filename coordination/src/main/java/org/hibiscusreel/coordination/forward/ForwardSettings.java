package org.hibiscusreel.coordination.forward;

/**
 * Settings of request forwarding.
 *
 * @param failureDomain failure domain of this daemon
 * @param retryRatio retries per request over all daemons, set by the operator
 * @param retrySlack additional retries per window over all daemons, set by the operator
 * @param configurationBoundMillis longest time that an accepted configuration may take to be in
 *     force, in milliseconds, set by the operator
 */
public record ForwardSettings(
    String failureDomain, double retryRatio, double retrySlack, long configurationBoundMillis) {}
