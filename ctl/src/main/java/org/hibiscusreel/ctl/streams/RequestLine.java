package org.hibiscusreel.ctl.streams;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.forward.StreamOrigin;

/**
 * What is kept of the log line of a request.
 *
 * @param atMillis time of day at its daemon in milliseconds
 * @param id the caller's identity of the request
 * @param daemon incarnation of the daemon
 * @param resumes request that the caller named as the first one of the stream, empty if it named
 *     none or the request takes up no stream
 * @param service service of the request
 * @param software version at which the stream began as the daemon concluded, or empty
 * @param upstreams upstreams that may have sent events, in the order in which their attempts ended
 * @param events number of events that the caller got
 * @param outcome what the request came to
 * @param evidence fields that tell how old the knowledge of the daemon was
 */
record RequestLine(
    long atMillis,
    String id,
    String daemon,
    String resumes,
    String service,
    String software,
    List<String> upstreams,
    long events,
    String outcome,
    String evidence) {

  /** Outcome of a request whose answer is complete. */
  static final String COMPLETE = "complete";

  RequestLine {
    upstreams = List.copyOf(upstreams);
  }

  /** Returns the last upstream that may have sent events. */
  Optional<String> lastUpstream() {
    return upstreams.isEmpty()
        ? Optional.empty()
        : Optional.of(upstreams.get(upstreams.size() - 1));
  }

  /** Returns the service and version that the line itself names. */
  Optional<StreamOrigin> named() {
    return software.isEmpty() ? Optional.empty() : Optional.of(new StreamOrigin(service, software));
  }
}
