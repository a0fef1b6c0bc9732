package org.hibiscusreel.daemon.main;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.request.RequestService;

/** Coordination services for production use. */
final class DefaultNode implements NodeHandle {

  private final CoordinationNode node;

  DefaultNode(NodeSettings settings, NodeDependencies ports) {
    this.node = new CoordinationNode(settings, ports);
  }

  @Override
  public CompletableFuture<Void> start() {
    return node.start();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return node.stop();
  }

  @Override
  public RequestService requests() {
    return node.requests();
  }

  @Override
  public ConfigurationView configuration() {
    return node.configuration();
  }

  @Override
  public PeerHandler peerHandler() {
    return node.peerHandler();
  }

  @Override
  public boolean isReady() {
    return node.isReady();
  }

  @Override
  public Object status() {
    return node.status();
  }

  @Override
  public int billsBuffered() {
    return node.status().billsBuffered();
  }
}
