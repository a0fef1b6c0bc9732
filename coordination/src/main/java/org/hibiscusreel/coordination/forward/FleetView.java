package org.hibiscusreel.coordination.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.UpstreamCatalog;

/** Last known configuration, upstreams and number of daemons. */
public interface FleetView {

  /**
   * Returns the configuration in force.
   *
   * @return the newest known version, or empty if none has been received
   */
  Optional<ForwardingTable> table();

  /**
   * Returns the age of what is known of the configuration.
   *
   * @return milliseconds since the time before which all changes are known; {@code Long.MAX_VALUE}
   *     if that was never confirmed
   */
  long configurationAgeMillis();

  /**
   * Returns for how long other daemons have been known to have a newer configuration.
   *
   * @return milliseconds, 0 if none is known to have one
   */
  long configurationLagMillis();

  /**
   * Returns the services to which the routes have led lately.
   *
   * @return the history, which is updated in place
   */
  RouteHistory routes();

  /**
   * Returns for how long all changes of the configuration were received.
   *
   * @return milliseconds, 0 if the configuration is not known
   */
  long configurationFollowedMillis();

  /**
   * Asks the store for the changes of the configuration until now.
   *
   * @param timeoutMillis longest wait in milliseconds
   * @return true once all changes before this call are known, false if the store did not answer;
   *     completes on the event loop and never exceptionally
   */
  CompletableFuture<Boolean> catchUpWithConfiguration(long timeoutMillis);

  /**
   * Returns the upstreams.
   *
   * @return the catalog, which is updated in place
   */
  UpstreamCatalog upstreams();

  /**
   * Returns the age of the information about upstreams.
   *
   * @return milliseconds since the last response of the platform's store
   */
  long upstreamDataAgeMillis();

  /**
   * Returns for how long all changes of the upstreams were received.
   *
   * @return milliseconds, 0 if the upstreams are not known
   */
  long upstreamsFollowedMillis();

  /**
   * Asks the store for the changes of the upstreams until now.
   *
   * @param timeoutMillis longest wait in milliseconds
   * @return true once the catalog has all changes before this call, false if the store did not
   *     answer; completes on the event loop and never exceptionally
   */
  CompletableFuture<Boolean> catchUpWithUpstreams(long timeoutMillis);

  /**
   * Returns the number of daemons that share budgets.
   *
   * @return 1 or more; too high rather than too low while it is uncertain
   */
  int daemonCount();
}
