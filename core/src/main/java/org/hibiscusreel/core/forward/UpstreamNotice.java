package org.hibiscusreel.core.forward;

/**
 * What a response says of its upstream, whatever it says of the request.
 *
 * @param limit requests that the upstream takes from all daemons together
 * @param isLeaving whether the upstream is shutting down and must get no new requests
 * @param pause time for which the upstream wants no requests of this daemon
 * @param tolerance rejections that the upstream survives
 * @param isFull whether the upstream rejected the request, which a full one does
 */
public record UpstreamNotice(
    RequestLimit limit,
    boolean isLeaving,
    PauseRequest pause,
    RejectionTolerance tolerance,
    boolean isFull) {

  /** Notice of a response that says nothing of its upstream. */
  public static final UpstreamNotice NONE =
      new UpstreamNotice(new RequestLimit.Unlimited(), false, new PauseRequest.None());

  /**
   * Creates the notice of an upstream that is not brittle and did not reject the request.
   *
   * @param limit requests that the upstream takes from all daemons together
   * @param isLeaving whether the upstream is shutting down
   * @param pause time for which the upstream wants no requests of this daemon
   */
  public UpstreamNotice(RequestLimit limit, boolean isLeaving, PauseRequest pause) {
    this(limit, isLeaving, pause, new RejectionTolerance.Unbounded(), false);
  }
}
