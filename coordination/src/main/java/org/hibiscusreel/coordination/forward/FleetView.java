package org.hibiscusreel.coordination.forward;

import java.util.Optional;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.UpstreamCatalog;

/** What this daemon believes of the configuration, the upstreams and the other daemons. */
public interface FleetView {

  /**
   * Returns the configuration in force.
   *
   * @return the newest version known, or empty before the first
   */
  Optional<ForwardingTable> table();

  /**
   * Returns the upstreams.
   *
   * @return the catalog, which changes with each news
   */
  UpstreamCatalog upstreams();

  /**
   * Returns the age of the news about upstreams.
   *
   * @return milliseconds since the platform's store last answered
   */
  long newsAgeMillis();

  /**
   * Returns the number of daemons that share budgets.
   *
   * @return 1 or more, rather too many than too few
   */
  int daemons();
}
