package org.hibiscusreel.core.forward;

/**
 * What a response says of its upstream, whatever it says of the request.
 *
 * @param limit requests that the upstream takes from all daemons together
 * @param isLeaving whether the upstream is shutting down and must get no new requests
 * @param pause time for which the upstream wants no requests of this daemon
 */
public record UpstreamNotice(RequestLimit limit, boolean isLeaving, PauseRequest pause) {

  /** Notice of a response that says nothing of its upstream. */
  public static final UpstreamNotice NONE =
      new UpstreamNotice(new RequestLimit.Unlimited(), false, new PauseRequest.None());
}
