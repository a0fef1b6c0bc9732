package org.hibiscusreel.coordination.node;

import java.util.List;
import org.hibiscusreel.coordination.membership.MemberInfo;

/**
 * Settings of the coordination services of one daemon.
 *
 * @param self this daemon
 * @param bootId kernel boot identifier of the host; empty if unknown or if this process does not
 *     hold the peer port exclusively, since only the two together prove that an earlier process at
 *     the port has ended
 * @param seeds peer addresses of the initial contact points, each an IP address and port
 * @param maxBufferedBills largest number of bills that are not yet written to the platform
 * @param drainTimeoutMillis longest time that a graceful stop waits for requests in progress, in
 *     milliseconds
 */
public record NodeSettings(
    MemberInfo self,
    String bootId,
    List<String> seeds,
    int maxBufferedBills,
    long drainTimeoutMillis) {

  /** Copies the list. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }
}
