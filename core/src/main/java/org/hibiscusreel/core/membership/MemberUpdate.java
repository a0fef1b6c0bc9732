package org.hibiscusreel.core.membership;

import java.util.Objects;

/**
 * A statement about one member.
 *
 * @param incarnation unique identifier of the run
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param site site of the host
 * @param peerAddress IP number and port of the peer service
 * @param adminAddress IP number and port of the administrative HTTP service
 * @param status the status stated
 * @param refutation number that only the member itself raises, to refute a suspicion
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
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
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
   * Returns the same member with another status.
   *
   * @param next the status
   * @param number the refutation number
   * @return the update
   */
  public MemberUpdate with(MemberStatus next, long number) {
    return new MemberUpdate(
        incarnation, host, failureDomain, site, peerAddress, adminAddress, next, number);
  }

  /**
   * Tells whether this statement replaces another one about the same member.
   *
   * @param other the statement held so far
   * @return true if it is newer, or equally new and of higher precedence
   */
  public boolean supersedes(MemberUpdate other) {
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }
}
