package org.hibiscusreel.bench.compare;

import java.util.Locale;
import org.hibiscusreel.bench.sim.NodeFactory;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDecorators;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;

/** Budget policies to compare. */
enum Policy {
  /** Budget policy of the product, without changes. */
  SHIPPED,
  /** Fixed equal shares, see {@link StaticSplit}. */
  STATIC_SPLIT,
  /** One budget write for each reservation, see {@link CentralCheck}. */
  CENTRAL_CHECK;

  /** Returns the name that is printed, in lower case with hyphens. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns a factory of daemons with this policy. */
  NodeFactory factory(Topology topology) {
    return switch (this) {
      case SHIPPED -> CoordinationNode::new;
      case STATIC_SPLIT -> (settings, ports) -> staticSplit(topology, settings, ports);
      case CENTRAL_CHECK -> Policy::centralCheck;
    };
  }

  private static CoordinationNode staticSplit(
      Topology topology, NodeSettings settings, NodeDependencies ports) {
    long domains = topology.failureDomains().size();
    long shares = domains * topology.hosts(settings.self().failureDomain()).size();
    NodeDecorators none = NodeDecorators.none();
    return new CoordinationNode(
        settings,
        ports,
        new NodeDecorators(
            shipped -> new StaticSplit(ports.table(), settings.self().incarnation(), shares),
            none.billing(),
            none.claims(),
            none.configuration()));
  }

  private static CoordinationNode centralCheck(NodeSettings settings, NodeDependencies ports) {
    NodeDecorators none = NodeDecorators.none();
    return new CoordinationNode(
        settings,
        ports,
        new NodeDecorators(
            shipped ->
                new CentralCheck(ports.scheduler(), ports.table(), settings.self().incarnation()),
            none.billing(),
            none.claims(),
            none.configuration()));
  }
}
