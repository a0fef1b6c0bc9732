package org.hibiscusreel.core.forward;

import java.util.List;

/**
 * Streams that have begun at one daemon lately, as it reports them to the other daemons.
 *
 * @param streams streams by what began them
 * @param upstreams upstreams that can go on with the streams and were listed lately, so that a
 *     daemon without the platform's store may not know them
 */
public record StreamReport(List<Streams> streams, List<UpstreamEntry> upstreams) {

  /**
   * Streams that began at the same service and version.
   *
   * @param origin service and version
   * @param requests identifiers of the requests that brought the first events
   */
  public record Streams(StreamOrigin origin, List<String> requests) {

    /** Copies the list. */
    public Streams {
      requests = List.copyOf(requests);
    }
  }

  /** Copies the lists. */
  public StreamReport {
    streams = List.copyOf(streams);
    upstreams = List.copyOf(upstreams);
  }
}
