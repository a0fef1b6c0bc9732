package org.hibiscusreel.coordination.membership;

/** Learns the configuration version that a peer holds. */
@FunctionalInterface
public interface PeerVersionListener {
  /**
   * A probe carried a version.
   *
   * @param peer the peer
   * @param version version of the configuration that it holds, 0 if it holds none
   */
  void onPeerVersion(MemberInfo peer, long version);
}
