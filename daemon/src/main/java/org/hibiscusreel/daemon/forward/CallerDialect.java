package org.hibiscusreel.daemon.forward;

import java.util.List;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.Refusal;

/** How callers spell requests and read refusals. */
public interface CallerDialect {

  /**
   * A request as it was received.
   *
   * @param method HTTP method
   * @param target path and query
   * @param path path without the query
   * @param host value of the {@code Host} header
   * @param fields header fields that concern more than one connection
   * @param body whole body
   */
  record Received(
      String method,
      String target,
      String path,
      String host,
      List<HeaderField> fields,
      byte[] body) {}

  /**
   * A refusal as it is sent.
   *
   * @param status HTTP status
   * @param fields header fields
   */
  record Sent(int status, List<HeaderField> fields) {}

  /**
   * Reads a request.
   *
   * @param received the request as it was received
   * @return the request
   */
  CallerRequest read(Received received);

  /**
   * Spells a refusal.
   *
   * @param refusal what the caller is told
   * @return the answer
   */
  Sent write(Refusal refusal);
}
