package org.hibiscusreel.daemon.forward;

import java.util.List;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamTransport.Outgoing;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** How upstreams read requests and spell answers. */
public interface UpstreamDialect {

  /** What the head of an answer means. */
  sealed interface Verdict {

    /**
     * An answer of the upstream to this request, which the caller may get.
     *
     * @param fields header fields for the caller
     */
    record Usable(List<HeaderField> fields) implements Verdict {}

    /**
     * No answer that a caller may get.
     *
     * @param outcome what is known about the request
     * @param reason what was wrong
     */
    record Unusable(AttemptOutcome outcome, String reason) implements Verdict {}
  }

  /**
   * Spells the header fields of a request.
   *
   * @param upstream where it is sent
   * @param request the request
   * @return the fields
   */
  List<HeaderField> fields(UpstreamEntry upstream, Outgoing request);

  /**
   * Judges the head of an answer.
   *
   * @param request the request
   * @param status HTTP status
   * @param fields header fields that concern more than one connection
   * @return what it means
   */
  Verdict judge(Outgoing request, int status, List<HeaderField> fields);
}
