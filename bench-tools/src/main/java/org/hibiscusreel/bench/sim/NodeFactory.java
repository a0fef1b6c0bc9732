package org.hibiscusreel.bench.sim;

import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodePorts;
import org.hibiscusreel.coordination.node.NodeSettings;

/** Builds the coordination services of a daemon, as shipped or with another collaborator. */
@FunctionalInterface
public interface NodeFactory {

  /**
   * Builds the services.
   *
   * @param settings settings of the daemon
   * @param ports its ports
   * @return the services, not started
   */
  CoordinationNode create(NodeSettings settings, NodePorts ports);
}
