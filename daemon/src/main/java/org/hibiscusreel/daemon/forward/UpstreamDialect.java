package org.hibiscusreel.daemon.forward;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamTransport.UpstreamRequest;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;

/** Converts between the types of the forwarder and the HTTP messages of upstreams. */
public interface UpstreamDialect {

  /** Result of checking the status and header fields of a response. */
  sealed interface ResponseCheck {

    /**
     * The response belongs to this request and may be passed to the caller.
     *
     * @param fields header fields for the caller
     */
    record Accepted(List<HeaderField> fields) implements ResponseCheck {}

    /**
     * The response must not be passed to the caller.
     *
     * @param outcome what the response proves about the execution of the request
     * @param reason why the response was rejected
     */
    record Rejected(AttemptOutcome outcome, String reason) implements ResponseCheck {}
  }

  /**
   * Returns the header fields of a request.
   *
   * @param upstream receiver of the request
   * @param request the request
   * @return the header fields to send
   */
  List<HeaderField> headerFields(UpstreamEntry upstream, UpstreamRequest request);

  /**
   * Returns what a response says of its upstream.
   *
   * @param status HTTP status
   * @param fields end-to-end header fields
   * @return the notice, or empty if the response is not from the upstream that was asked
   */
  Optional<UpstreamNotice> notice(int status, List<HeaderField> fields);

  /**
   * Checks the status and header fields of a response.
   *
   * @param request the request
   * @param status HTTP status
   * @param fields end-to-end header fields
   * @return whether the response may be passed to the caller
   */
  ResponseCheck checkResponse(UpstreamRequest request, int status, List<HeaderField> fields);
}
