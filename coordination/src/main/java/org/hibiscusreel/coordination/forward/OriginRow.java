package org.hibiscusreel.coordination.forward;

import java.util.List;

/**
 * Row in which a daemon records at which upstreams the streams of a few seconds have begun.
 *
 * @param atMillis time of the store at which the row was written, in milliseconds
 * @param versions services with the versions of their upstreams that the daemon has seen
 * @param streams streams by what began them
 */
record OriginRow(long atMillis, List<Versions> versions, List<Streams> streams) {

  /** Versions of the software of the upstreams of a service. */
  record Versions(String service, List<String> software) {}

  /** Identifiers of the requests that brought the first events of streams. */
  record Streams(String service, String software, List<String> requests) {}
}
