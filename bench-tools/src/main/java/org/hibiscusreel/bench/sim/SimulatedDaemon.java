package org.hibiscusreel.bench.sim;

import org.hibiscusreel.coordination.node.CoordinationNode;

/**
 * A daemon of a simulation, from its start until it is killed.
 *
 * @param host name of the host
 * @param failureDomain failure domain of the host
 * @param incarnation identifier of this start of the daemon
 * @param process event loop of the daemon
 * @param node coordination services of the daemon
 * @param stopping array whose element 0 is true once a graceful stop has begun
 */
public record SimulatedDaemon(
    String host,
    String failureDomain,
    String incarnation,
    SimulatedProcess process,
    CoordinationNode node,
    boolean[] stopping) {

  /**
   * Returns whether the load balancer sends requests to this daemon. It does not detect pauses.
   *
   * @return true unless the daemon was killed or is stopping
   */
  public boolean isInRotation() {
    return process.isAlive() && !stopping[0];
  }
}
