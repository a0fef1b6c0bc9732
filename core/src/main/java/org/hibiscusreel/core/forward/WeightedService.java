package org.hibiscusreel.core.forward;

/**
 * Weight of a service in the distribution of a route's requests.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route, positive
 */
public record WeightedService(String service, int weight) {}
