package org.hibiscusreel.coordination.membership;

import java.util.List;
import java.util.Set;

/** What this daemon knows of the others. */
public interface MembershipView {

  /**
   * Returns this daemon.
   *
   * @return itself
   */
  MemberInfo self();

  /**
   * Returns the members that are believed alive, with this daemon unless it is leaving.
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
   * Adds an upstream to those known to be leaving, which is spread to the other daemons.
   *
   * @param upstream name of the upstream
   */
  void markUpstreamLeaving(String upstream);

  /**
   * Removes an upstream from those known to be leaving, when it was returned to service.
   *
   * @param upstream name of the upstream
   */
  void markUpstreamReturned(String upstream);
}
