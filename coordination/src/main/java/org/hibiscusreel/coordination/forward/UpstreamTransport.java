package org.hibiscusreel.coordination.forward;

import java.util.List;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** Sends requests to upstreams. Called and calling only on the thread of the event loop. */
public interface UpstreamTransport {

  /**
   * A request as one upstream receives it.
   *
   * @param caller request of the caller
   * @param account name of the client account, or empty
   * @param deadlineMillis time that the upstream may work on it
   * @param priority rank of the request, 0 is the most urgent
   * @param resumeAfter identity of the last event that the caller received, or empty
   */
  record Outgoing(
      CallerRequest caller,
      String account,
      long deadlineMillis,
      int priority,
      String resumeAfter) {}

  /** Receives what becomes of a request. */
  interface Listener {

    /**
     * The upstream began a usable answer of its own to this request.
     *
     * @param status HTTP status
     * @param fields header fields that the caller receives unchanged
     */
    void onHead(int status, List<HeaderField> fields);

    /**
     * A piece of the body arrived.
     *
     * @param bytes bytes
     */
    void onBytes(byte[] bytes);

    /** The body is complete; nothing follows. */
    void onEnd();

    /**
     * The attempt ended without a complete answer; nothing follows.
     *
     * @param outcome what is known
     * @param reason what happened
     */
    void onFailure(AttemptOutcome outcome, String reason);
  }

  /** A request in progress. */
  interface Exchange {

    /** Stops reading until {@link #proceed}. */
    void pause();

    /** Reads on. */
    void proceed();

    /**
     * Closes the connection, which makes the upstream drop the request; the listener hears nothing.
     */
    void cancel();
  }

  /**
   * Sends a request.
   *
   * @param upstream where to
   * @param request the request
   * @param listener receives the outcome, never before this method returned
   * @return the request in progress
   */
  Exchange send(UpstreamEntry upstream, Outgoing request, Listener listener);
}
