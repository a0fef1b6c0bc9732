package org.hibiscusreel.core.forward;

/**
 * An instance of an upstream that has said in a response that it is shutting down.
 *
 * @param id identifier of the instance, which a later one may have again
 * @param address IP address and port
 * @param startedAtMillis wall-clock start time of the instance in milliseconds since the epoch
 */
public record LeavingUpstream(String id, String address, long startedAtMillis) {

  /**
   * Returns the instance that an entry describes.
   *
   * @param entry description that the upstream published
   * @return its instance
   */
  public static LeavingUpstream of(UpstreamEntry entry) {
    return new LeavingUpstream(entry.id(), entry.address(), entry.startedAtMillis());
  }
}
