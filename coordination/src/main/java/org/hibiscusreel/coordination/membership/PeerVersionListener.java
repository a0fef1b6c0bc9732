package org.hibiscusreel.coordination.membership;

/** Listener for the configuration versions of peers. */
@FunctionalInterface
public interface PeerVersionListener {
  /**
   * Called when a probe message carried the version of a peer.
   *
   * @param peer the peer
   * @param version version of the configuration in force at the peer, 0 if there is none
   */
  void onPeerVersion(MemberInfo peer, long version);
}
