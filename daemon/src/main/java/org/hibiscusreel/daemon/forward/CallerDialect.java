package org.hibiscusreel.daemon.forward;

import java.util.List;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.Refusal;

/** Converts between the HTTP messages of callers and the types of the forwarder. */
public interface CallerDialect {

  /**
   * A request as received from a caller.
   *
   * @param method HTTP method
   * @param target path and query
   * @param path path without the query
   * @param host value of the {@code Host} header
   * @param fields end-to-end header fields
   * @param body complete body
   */
  record ReceivedRequest(
      String method,
      String target,
      String path,
      String host,
      List<HeaderField> fields,
      byte[] body) {}

  /**
   * Status and header fields of the response to a refused request.
   *
   * @param status HTTP status
   * @param fields header fields
   */
  record RefusalResponse(int status, List<HeaderField> fields) {}

  /**
   * Parses a request.
   *
   * @param received the request as received
   * @return the parsed request
   */
  CallerRequest read(ReceivedRequest received);

  /**
   * Creates the response to a refused request.
   *
   * @param refusal reason of the refusal
   * @return status and header fields of the response
   */
  RefusalResponse write(Refusal refusal);
}
