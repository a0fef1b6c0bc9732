package org.hibiscusreel.core.forward;

/**
 * What began a stream. The stream can go on only at an upstream of the same service with the same
 * version of its software.
 *
 * @param service name of the service
 * @param softwareVersion version of the software of the upstream
 */
public record StreamOrigin(String service, String softwareVersion) {

  /**
   * Returns what a stream has begun at that an upstream sends.
   *
   * @param upstream the upstream
   * @return its service and version
   */
  public static StreamOrigin of(UpstreamEntry upstream) {
    return new StreamOrigin(upstream.service(), upstream.softwareVersion());
  }

  /**
   * Returns whether an upstream can go on with the stream.
   *
   * @param upstream the upstream
   * @return true if its service and version are those that began the stream
   */
  public boolean isContinuedBy(UpstreamEntry upstream) {
    return equals(of(upstream));
  }
}
