package org.hibiscusreel.core.routing;

/**
 * An upstream that may be chosen, as this daemon sees it now.
 *
 * @param name name of the upstream
 * @param failureDomain its failure domain
 * @param inFlight requests that this daemon has in progress there
 * @param limit largest number that this daemon may have there, positive
 * @param load estimated requests in progress of all daemons
 * @param capacity requests that it can execute at once, positive
 * @param delayMillis smoothed delay to the first chunk in milliseconds, 0 if unknown
 * @param prefixMatch share of the prompt's prefixes that it has cached, 0 to 1
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
   * Tells whether this daemon may send it one more request.
   *
   * @return true if its limit is not reached
   */
  public boolean hasRoom() {
    return inFlight < limit;
  }
}
