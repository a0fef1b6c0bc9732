package org.hibiscusreel.core.membership;

import java.util.Objects;

/**
 * Update about the status of one member.
 *
 * @param incarnation unique identifier of the member's process
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param site site of the host
 * @param peerAddress IP address and port of the peer service
 * @param adminAddress IP address and port of the administrative HTTP service
 * @param status status of the member
 * @param refutation refutation number, which only the member itself increases, to refute a
 *     suspicion
 */
public record MemberUpdate(
    String incarnation,
    String host,
    String failureDomain,
    String site,
    String peerAddress,
    String adminAddress,
    MemberStatus status,
    long refutation) {
  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
   * @throws IllegalArgumentException if the incarnation is empty
   */
  public MemberUpdate {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(site, "site");
    Objects.requireNonNull(peerAddress, "peerAddress");
    Objects.requireNonNull(adminAddress, "adminAddress");
    Objects.requireNonNull(status, "status");
    if (incarnation.isEmpty()) {
      throw new IllegalArgumentException("incarnation must not be empty");
    }
  }

  /**
   * Returns an update of the same member with another status.
   *
   * @param newStatus the status
   * @param newRefutation the refutation number
   * @return the update
   */
  public MemberUpdate with(MemberStatus newStatus, long newRefutation) {
    return new MemberUpdate(
        incarnation,
        host,
        failureDomain,
        site,
        peerAddress,
        adminAddress,
        newStatus,
        newRefutation);
  }

  /**
   * Tells whether this update replaces another one of the same member.
   *
   * @param other the current update
   * @return true if it is newer, or equally new and of higher precedence
   */
  public boolean supersedes(MemberUpdate other) {
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }
}
