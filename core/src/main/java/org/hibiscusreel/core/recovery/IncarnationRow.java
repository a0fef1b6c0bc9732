package org.hibiscusreel.core.recovery;

/**
 * The platform's row of one run of a daemon process.
 *
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param site site of the host
 * @param peerAddress IP number and port of the peer service
 * @param adminAddress IP number and port of the administrative HTTP service
 * @param bootId kernel boot identifier of the host, empty if unknown
 * @param state life-cycle state
 * @param proof how the death was proven, empty while alive
 * @param startedAtMillis wall-clock start in milliseconds since the epoch
 */
public record IncarnationRow(
    String host,
    String failureDomain,
    String site,
    String peerAddress,
    String adminAddress,
    String bootId,
    IncarnationState state,
    String proof,
    long startedAtMillis) {

  /**
   * Returns the row in another state.
   *
   * @param next the new state
   * @param why proof of death, or empty
   * @return the changed row
   */
  public IncarnationRow with(IncarnationState next, String why) {
    return new IncarnationRow(
        host, failureDomain, site, peerAddress, adminAddress, bootId, next, why, startedAtMillis);
  }
}
