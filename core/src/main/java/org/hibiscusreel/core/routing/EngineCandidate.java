package org.hibiscusreel.core.routing;

/**
 * Upstream that may be chosen, with its current state as known to this daemon.
 *
 * @param name name of the upstream
 * @param failureDomain its failure domain
 * @param inFlight requests that this daemon has in progress there
 * @param limit largest number of requests that this daemon may have in progress there, positive
 * @param load estimated number of requests in progress there of all daemons
 * @param capacity requests that it can execute concurrently, positive
 * @param delayMillis smoothed latency of the first chunk in milliseconds, 0 if unknown
 * @param prefixMatch fraction of the prompt's prefixes that it has cached, 0 to 1
 */
public record EngineCandidate(
    String name,
    String failureDomain,
    int inFlight,
    int limit,
    double load,
    int capacity,
    double delayMillis,
    double prefixMatch) {
  /**
   * Tells whether this daemon may send another request to the upstream.
   *
   * @return true if the limit is not reached
   */
  public boolean isBelowLimit() {
    return inFlight < limit;
  }
}
