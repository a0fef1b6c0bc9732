package org.hibiscusreel.daemon.main;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.request.RequestService;

/** Coordination services of a daemon, in the form that the process uses. */
public interface NodeHandle {

  /** Creates the services. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates services that are not started yet.
     *
     * @param settings settings of the daemon
     * @param ports external services and clients, which run on the event loop
     * @return the services
     */
    NodeHandle create(NodeSettings settings, NodeDependencies ports);
  }

  /**
   * Starts the services.
   *
   * @return completes when they run
   */
  CompletableFuture<Void> start();

  /**
   * Stops the services gracefully.
   *
   * @return completes when the process can exit
   */
  CompletableFuture<Void> stop();

  /**
   * Returns the service for requests of callers.
   *
   * @return the service
   */
  RequestService requests();

  /**
   * Returns the view of the current configuration.
   *
   * @return the view
   */
  ConfigurationView configuration();

  /**
   * Returns the handler for the calls of other daemons.
   *
   * @return the handler
   */
  PeerHandler peerHandler();

  /**
   * Tells whether requests are accepted.
   *
   * @return true if the load balancer may send requests
   */
  boolean isReady();

  /**
   * Returns the status for operators.
   *
   * @return a record that is shown as JSON
   */
  Object status();

  /**
   * Returns the number of bills that are buffered until the platform accepts them.
   *
   * @return 0 or more
   */
  int billsBuffered();
}
