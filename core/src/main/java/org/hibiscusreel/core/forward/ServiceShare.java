package org.hibiscusreel.core.forward;

/**
 * Share of a route's requests that a service receives.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route, positive
 */
public record ServiceShare(String service, int weight) {}
