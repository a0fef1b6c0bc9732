package org.hibiscusreel.bench.sim;

import org.hibiscusreel.coordination.node.CoordinationNode;

/**
 * One run of a daemon in a simulation.
 *
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param incarnation identifier of the run
 * @param scope its event loop
 * @param node its coordination services
 * @param stopping holds true at index 0 once a graceful stop began
 */
public record SimulatedDaemon(
    String host,
    String failureDomain,
    String incarnation,
    ProcessScope scope,
    CoordinationNode node,
    boolean[] stopping) {

  /**
   * Tells whether the balancer sends callers to this daemon. It does not know of pauses.
   *
   * @return true unless it was killed or is stopping
   */
  public boolean takesCallers() {
    return scope.isAlive() && !stopping[0];
  }
}
