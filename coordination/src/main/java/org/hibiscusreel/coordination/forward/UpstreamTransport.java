package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;

/** Sends requests to upstreams. Methods and callbacks run only on the event loop thread. */
public interface UpstreamTransport {

  /**
   * A request as it is sent to one upstream.
   *
   * @param caller the caller's request
   * @param account name of the client account, or empty
   * @param deadlineMillis time that the upstream may take, in milliseconds
   * @param priority priority of the request, 0 is the most urgent
   * @param resumeAfter identifier of the last event that the caller received, or empty
   */
  record UpstreamRequest(
      CallerRequest caller,
      String account,
      long deadlineMillis,
      int priority,
      String resumeAfter) {}

  /** Receives the response to a request. */
  interface Listener {

    /**
     * Called when a connection of this host to the upstream is open, over which the request is sent
     * at once. Not called for a request that another daemon relays.
     */
    default void onConnected() {}

    /**
     * Called when the header of a response from the upstream arrived, before any other call.
     *
     * @param notice what the response says of the upstream
     */
    void onNotice(UpstreamNotice notice);

    /**
     * Called when the header of a usable response from the upstream arrived.
     *
     * @param status HTTP status
     * @param fields header fields that are forwarded to the caller unchanged
     */
    void onHead(int status, List<HeaderField> fields);

    /**
     * Called when a piece of the body arrived.
     *
     * @param bytes bytes of the piece
     */
    void onBytes(byte[] bytes);

    /** Called when the body is complete; no other call follows. */
    void onEnd();

    /**
     * Called when the attempt ended without a complete response; no other call follows.
     *
     * @param outcome what is known about the execution of the request
     * @param reason description of the failure
     */
    void onFailure(AttemptOutcome outcome, String reason);
  }

  /** A request in progress. */
  interface Exchange {

    /**
     * Returns the daemon through which the request was sent last.
     *
     * @return its address, or empty if this host sent the request itself
     */
    default Optional<String> relay() {
      return Optional.empty();
    }

    /** Stops reading the response until {@link #resumeReading}. */
    void pause();

    /** Continues to read the response. */
    void resumeReading();

    /**
     * Closes the connection, which makes the upstream drop the request; the listener is not called
     * any more.
     */
    void cancel();
  }

  /**
   * Sends a request.
   *
   * @param upstream upstream to send it to
   * @param request the request
   * @param listener receives the response, never before this method has returned
   * @return the request in progress
   * @throws RuntimeException if the request can't be sent to this upstream; nothing was sent
   */
  Exchange send(UpstreamEntry upstream, UpstreamRequest request, Listener listener);

  /**
   * Tells whether this host opens no connections to upstreams itself, because they fail.
   *
   * @return true while other daemons relay the requests
   */
  default boolean isIsolated() {
    return false;
  }

  /**
   * Tells whether a request can be sent at all.
   *
   * @return false while this host reaches neither an upstream nor a daemon that relays
   */
  default boolean hasPath() {
    return true;
  }
}
