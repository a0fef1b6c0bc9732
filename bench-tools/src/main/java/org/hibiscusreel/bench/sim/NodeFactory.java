package org.hibiscusreel.bench.sim;

import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;

/** Creates the coordination services of a daemon, optionally with modified collaborators. */
@FunctionalInterface
public interface NodeFactory {

  /**
   * Creates the services without starting them.
   *
   * @param settings settings of the daemon
   * @param ports ports through which the daemon reaches its environment
   * @return the services
   */
  CoordinationNode create(NodeSettings settings, NodeDependencies ports);
}
