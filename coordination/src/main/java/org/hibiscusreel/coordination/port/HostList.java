package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts and upstreams, which may be outdated. */
public interface HostList {

  /** State of a host or upstream as the platform lists it. */
  enum State {
    LIVE,
    LEAVING,
    /** The platform destroyed the host; it will never run again. */
    TERMINATED
  }

  /**
   * An entry host.
   *
   * @param host name of the host
   * @param failureDomain failure domain of the host
   * @param peerAddress IP number and port of its peer service
   * @param state state as the platform lists it
   */
  record Host(String host, String failureDomain, String peerAddress, State state) {}

  /**
   * An upstream.
   *
   * @param name name of the upstream
   * @param state state as the platform lists it
   */
  record ListedUpstream(String name, State state) {}

  /**
   * Complete content of the list.
   *
   * @param hosts entry hosts
   * @param upstreams upstreams
   */
  record Listing(List<Host> hosts, List<ListedUpstream> upstreams) {}

  /**
   * Fetches the list.
   *
   * @return the list, or empty if it is unavailable
   */
  CompletableFuture<Optional<Listing>> fetch();
}
