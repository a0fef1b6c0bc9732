package org.hibiscusreel.core.forward;

/**
 * Description that an upstream publishes of itself.
 *
 * @param id identifier of the running instance, usually new at each start
 * @param service service that it provides
 * @param address IP address and port
 * @param failureDomain failure domain
 * @param leaving whether it is shutting down and accepts no new requests
 * @param slots requests that it runs concurrently
 * @param softwareVersion version of its software, empty if it names none; what two versions write
 *     of one stream doesn't fit together
 * @param startedAtMillis wall-clock start time in milliseconds since the epoch
 */
public record UpstreamEntry(
    String id,
    String service,
    String address,
    String failureDomain,
    boolean leaving,
    int slots,
    String softwareVersion,
    long startedAtMillis) {

  /**
   * Creates the description of an upstream that names no version of its software.
   *
   * @param id identifier of the running instance
   * @param service service that it provides
   * @param address IP address and port
   * @param failureDomain failure domain
   * @param leaving whether it is shutting down
   * @param slots requests that it runs concurrently
   * @param startedAtMillis wall-clock start time in milliseconds since the epoch
   */
  public UpstreamEntry(
      String id,
      String service,
      String address,
      String failureDomain,
      boolean leaving,
      int slots,
      long startedAtMillis) {
    this(id, service, address, failureDomain, leaving, slots, "", startedAtMillis);
  }
}
