package org.hibiscusreel.coordination.membership;

import java.util.List;
import java.util.Set;

/** View of the members as seen by this daemon. */
public interface MembershipView {

  /**
   * Returns the identity of this daemon.
   *
   * @return this daemon
   */
  MemberInfo self();

  /**
   * Returns the members believed alive, including this daemon unless it is leaving.
   *
   * @return members of all failure domains, in no particular order
   */
  List<MemberInfo> alive();

  /**
   * Ranks the members believed alive in a failure domain for a key by rendezvous hashing.
   *
   * @param failureDomain the failure domain
   * @param key the key, for example a budget
   * @return the members, best first; empty if none is known
   */
  List<MemberInfo> rank(String failureDomain, String key);

  /**
   * Returns the upstreams that are known to be leaving.
   *
   * @return names of upstreams
   */
  Set<String> leavingUpstreams();

  /**
   * Marks an upstream as leaving and disseminates this to the other daemons.
   *
   * @param upstream name of the upstream
   */
  void markUpstreamLeaving(String upstream);

  /**
   * Removes the leaving mark of an upstream that was returned to service, also at the other
   * daemons.
   *
   * @param upstream name of the upstream
   */
  void markUpstreamReturned(String upstream);
}
