package org.hibiscusreel.core.recovery;

/**
 * Row of one incarnation, which is one run of a daemon process, in the platform's store.
 *
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param site site of the host
 * @param peerAddress IP address and port of the peer service
 * @param adminAddress IP address and port of the administrative HTTP service
 * @param bootId kernel boot identifier of the host, empty if unknown
 * @param state life-cycle state
 * @param proof proof of death, empty while alive
 * @param startedAtMillis wall-clock start time in milliseconds since the epoch
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
   * Returns this row with another state.
   *
   * @param newState the new state
   * @param newProof proof of death, or empty
   * @return the changed row
   */
  public IncarnationRow with(IncarnationState newState, String newProof) {
    return new IncarnationRow(
        host,
        failureDomain,
        site,
        peerAddress,
        adminAddress,
        bootId,
        newState,
        newProof,
        startedAtMillis);
  }
}
